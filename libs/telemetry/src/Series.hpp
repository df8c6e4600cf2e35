#pragma once

#include "masticstep/telemetry/Metrics.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <tuple>

namespace masticstep::telemetry {

class AtomicCounter : public Counter
{
public:
  void Add(std::uint64_t aCount) override { mValue.fetch_add(aCount, std::memory_order_relaxed); }
  std::uint64_t Value() const override { return mValue.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> mValue{ 0 };
};

class AtomicGauge : public Gauge
{
public:
  void Add(std::int64_t aChange) override { mValue.fetch_add(aChange, std::memory_order_relaxed); }
  void Set(std::int64_t aValue) override { mValue.store(aValue, std::memory_order_relaxed); }
  std::int64_t Value() const override { return mValue.load(std::memory_order_relaxed); }

private:
  std::atomic<std::int64_t> mValue{ 0 };
};

// Boost.Histogram with logarithmic bins and a mutex.
class HistogramSeries : public LatencySeries
{
public:
  HistogramSeries();

  void Record(Duration aDuration) override;
  std::uint64_t Count() const override;
  Duration Quantile(double aShare) const override;

  // Appends the buckets, the sum and the count in the Prometheus text format.
  void AppendTo(std::string& aOutput, const std::string& aName, const std::string& aLabels) const;

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::dense_storage<std::uint64_t>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>, Storage>;

  mutable std::mutex mMutex;
  Histogram mHistogram;
  double mSumSeconds = 0.0;
  std::uint64_t mCount = 0;
};

} // namespace masticstep::telemetry
