#pragma once

#include "masticstep/base/Time.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace masticstep::telemetry {

// Name of a series and at most one label.
struct SeriesKey
{
  std::string name;
  std::string label;
  std::string value;

  std::strong_ordering operator<=>(const SeriesKey&) const = default;
};

// Count that only grows.
class Counter
{
public:
  virtual ~Counter() = default;
  virtual void Add(std::uint64_t aCount = 1) = 0;
  virtual std::uint64_t Value() const = 0;
};

// Number that goes up and down.
class Gauge
{
public:
  virtual ~Gauge() = default;
  virtual void Add(std::int64_t aChange) = 0;
  virtual void Set(std::int64_t aValue) = 0;
  virtual std::int64_t Value() const = 0;
};

// Histogram of durations from 1 ms to 60 s.
class LatencySeries
{
public:
  virtual ~LatencySeries() = default;
  virtual void Record(Duration aDuration) = 0;
  virtual std::uint64_t Count() const = 0;
  // Returns an upper bound of the duration that the share of recorded durations stays below, to
  // the resolution of the histogram; zero if nothing was recorded.
  virtual Duration Quantile(double aShare) const = 0;
};

// All series of a daemon. The handles stay valid for as long as they are held; look them up once a
// request, not once a token. Safe to use from every thread.
class Metrics
{
public:
  // aMaximumValues bounds the label values of one name; further ones share the value "other", so
  // that memory stays bounded whatever accounts are configured.
  explicit Metrics(std::size_t aMaximumValues = 1024);
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  std::shared_ptr<Counter> GetCounter(const SeriesKey& aKey);
  std::shared_ptr<Gauge> GetGauge(const SeriesKey& aKey);
  std::shared_ptr<LatencySeries> GetLatency(const SeriesKey& aKey);

  // Returns all series in the Prometheus text format.
  std::string PrometheusText() const;

private:
  struct Tables;
  std::unique_ptr<Tables> mTables;
};

} // namespace masticstep::telemetry
