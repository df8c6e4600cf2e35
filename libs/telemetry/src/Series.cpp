#include "Series.hpp"

#include <cstdio>

namespace masticstep::telemetry {

namespace {

// 32 bins over five decades: each bound is 1.41 times the one before, which tells 67 ms from 95 ms.
constexpr unsigned kBins = 32;
constexpr double kShortest = 0.001;
constexpr double kLongest = 60.0;

std::string NumberText(double aNumber)
{
  char text[32] = {};
  std::snprintf(text, sizeof(text), "%.6g", aNumber);
  return text;
}

} // namespace

HistogramSeries::HistogramSeries()
  : mHistogram(std::make_tuple(Axis(kBins, kShortest, kLongest)))
{
}

void HistogramSeries::Record(Duration aDuration)
{
  const double seconds = ToSeconds(aDuration);
  const std::lock_guard<std::mutex> lock(mMutex);
  mHistogram(seconds);
  mSumSeconds += seconds;
  ++mCount;
}

std::uint64_t HistogramSeries::Count() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mCount;
}

Duration HistogramSeries::Quantile(double aShare) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mCount == 0) {
    return Duration::zero();
  }
  const Axis& axis = mHistogram.axis();
  std::uint64_t below = mHistogram.at(-1);
  for (int i = 0; i <= axis.size(); ++i) {
    if (static_cast<double>(below) >= aShare * static_cast<double>(mCount)) {
      return FromSeconds(axis.value(i));
    }
    below += mHistogram.at(i);
  }
  return FromSeconds(kLongest);
}

void HistogramSeries::AppendTo(std::string& aOutput, const std::string& aName,
                               const std::string& aLabels) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const std::string prefix = aLabels.empty() ? "" : aLabels + ",";
  const Axis& axis = mHistogram.axis();
  std::uint64_t below = mHistogram.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    below += mHistogram.at(i);
    const std::string bound = NumberText(axis.value(i + 1));
    aOutput.append(aName).append("_bucket{").append(prefix).append("le=\"").append(bound);
    aOutput.append("\"} ").append(std::to_string(below)).append("\n");
  }
  const std::string labels = aLabels.empty() ? "" : "{" + aLabels + "}";
  aOutput += aName + "_bucket{" + prefix + "le=\"+Inf\"} " + std::to_string(mCount) + "\n";
  aOutput += aName + "_sum" + labels + " " + NumberText(mSumSeconds) + "\n";
  aOutput += aName + "_count" + labels + " " + std::to_string(mCount) + "\n";
}

} // namespace masticstep::telemetry
