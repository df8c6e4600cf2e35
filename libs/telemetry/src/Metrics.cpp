#include "masticstep/telemetry/Metrics.hpp"

#include "Series.hpp"

#include <map>
#include <mutex>

namespace masticstep::telemetry {

namespace {

constexpr const char* kOther = "other";

std::string Labels(const SeriesKey& aKey)
{
  if (aKey.label.empty()) {
    return {};
  }
  std::string text = aKey.label + "=\"";
  for (const char c : aKey.value) {
    if (c == '"' || c == '\\') {
      text += '\\';
    }
    text += c == '\n' ? ' ' : c;
  }
  return text + "\"";
}

std::string Braces(const std::string& aLabels)
{
  return aLabels.empty() ? "" : "{" + aLabels + "}";
}

// Series of one kind by key, with a bound on the label values of each name.
template <class Series>
class Table
{
public:
  std::shared_ptr<Series> Get(SeriesKey aKey, std::size_t aMaximumValues)
  {
    const auto found = mSeries.find(aKey);
    if (found != mSeries.end()) {
      return found->second;
    }
    std::size_t& n = mValuesOfName[aKey.name];
    if (n >= aMaximumValues && aKey.value != kOther) {
      aKey.value = kOther;
      return Get(std::move(aKey), aMaximumValues);
    }
    ++n;
    return mSeries.emplace(std::move(aKey), std::make_shared<Series>()).first->second;
  }

  const std::map<SeriesKey, std::shared_ptr<Series>>& All() const { return mSeries; }

private:
  std::map<SeriesKey, std::shared_ptr<Series>> mSeries;
  std::map<std::string, std::size_t> mValuesOfName;
};

template <class Series>
void AppendValues(std::string& aOutput, const Table<Series>& aTable, const char* aType)
{
  std::string name;
  for (const auto& [key, series] : aTable.All()) {
    if (key.name != name) {
      name = key.name;
      aOutput += "# TYPE " + name + " " + aType + "\n";
    }
    aOutput += name + Braces(Labels(key)) + " " + std::to_string(series->Value()) + "\n";
  }
}

} // namespace

struct Metrics::Tables
{
  std::size_t maximumValues;
  std::mutex mutex;
  Table<AtomicCounter> counters;
  Table<AtomicGauge> gauges;
  Table<HistogramSeries> latencies;
};

Metrics::Metrics(std::size_t aMaximumValues)
  : mTables(std::make_unique<Tables>())
{
  mTables->maximumValues = aMaximumValues;
}

Metrics::~Metrics() = default;

std::shared_ptr<Counter> Metrics::GetCounter(const SeriesKey& aKey)
{
  const std::lock_guard<std::mutex> lock(mTables->mutex);
  return mTables->counters.Get(aKey, mTables->maximumValues);
}

std::shared_ptr<Gauge> Metrics::GetGauge(const SeriesKey& aKey)
{
  const std::lock_guard<std::mutex> lock(mTables->mutex);
  return mTables->gauges.Get(aKey, mTables->maximumValues);
}

std::shared_ptr<LatencySeries> Metrics::GetLatency(const SeriesKey& aKey)
{
  const std::lock_guard<std::mutex> lock(mTables->mutex);
  return mTables->latencies.Get(aKey, mTables->maximumValues);
}

std::string Metrics::PrometheusText() const
{
  const std::lock_guard<std::mutex> lock(mTables->mutex);
  std::string text;
  AppendValues(text, mTables->counters, "counter");
  AppendValues(text, mTables->gauges, "gauge");
  std::string name;
  for (const auto& [key, series] : mTables->latencies.All()) {
    if (key.name != name) {
      name = key.name;
      text += "# TYPE " + name + " histogram\n";
    }
    series->AppendTo(text, key.name, Labels(key));
  }
  return text;
}

} // namespace masticstep::telemetry
