#include "BenchCase.hpp"
#include "OrderLoad.hpp"

namespace masticstep::bench {

namespace {

const std::string kBaseline = "one_object_per_order";

double Share(const std::vector<double>& aSorted, double aShare)
{
  if (aSorted.empty()) {
    return 0.0;
  }
  const std::size_t last = aSorted.size() - 1;
  return aSorted[static_cast<std::size_t>(static_cast<double>(last) * aShare)];
}

double PerOrder(std::uint64_t aCount, const OrderLoadResult& aResult)
{
  return static_cast<double>(aCount) / static_cast<double>(aResult.orders);
}

// The spans hold several buckets and at least some hundred orders.
std::vector<Measurement> Measure(double aOrdersPerSecond, Duration aSpan)
{
  OrderLoadOptions options;
  options.ordersPerSecond = aOrdersPerSecond;
  options.span = aSpan;
  const OrderLoadResult shards = RunShardOrders(options);
  const OrderLoadResult objects = RunObjectOrders(options);
  options.answerBytes = 2000;
  const OrderLoadResult large = RunShardOrders(options);
  return {
    { "writes_per_order",
      PerOrder(shards.writes, shards),
      "writes",
      { { kBaseline, PerOrder(objects.writes, objects) } } },
    { "writes_per_order_2000_byte_answers", PerOrder(large.writes, large), "writes", {} },
    { "reads_per_order",
      PerOrder(shards.reads, shards),
      "reads",
      { { kBaseline, PerOrder(objects.reads, objects) } } },
    { "added_latency_ms",
      Share(shards.addedMs, 0.5),
      "ms (median)",
      { { kBaseline, Share(objects.addedMs, 0.5) } } },
    { "added_latency_p99_ms",
      Share(shards.addedMs, 0.99),
      "ms",
      { { kBaseline, Share(objects.addedMs, 0.99) } } },
    { "added_latency_max_ms",
      Share(shards.addedMs, 1.0),
      "ms",
      { { kBaseline, Share(objects.addedMs, 1.0) } } },
    { "executed_share",
      PerOrder(shards.executed, shards),
      "share",
      { { kBaseline, PerOrder(objects.executed, objects) } } },
    { "largest_object", shards.largestObject, "bytes", { { kBaseline, objects.largestObject } } },
  };
}

// The daemons of one installation write the same shards if no owner is chosen for each shard.
std::vector<Measurement> MeasureShared()
{
  std::vector<Measurement> measurements;
  for (const double rate : { 1.0, 10.0, 100.0 }) {
    OrderLoadOptions options;
    options.ordersPerSecond = rate;
    options.span = Seconds(rate < 10.0 ? 600 : 60);
    const OrderLoadResult one = RunShardOrders(options);
    options.daemons = 8;
    const OrderLoadResult result = RunShardOrders(options);
    const std::string at = "_at_" + std::to_string(static_cast<int>(rate));
    const std::string baseline = "one_daemon";
    measurements.push_back({ "writes_per_order" + at,
                             PerOrder(result.writes, result),
                             "writes",
                             { { baseline, PerOrder(one.writes, one) } } });
    measurements.push_back({ "reads_per_order" + at,
                             PerOrder(result.reads, result),
                             "reads",
                             { { baseline, PerOrder(one.reads, one) } } });
    measurements.push_back({ "added_latency" + at + "_p99_ms",
                             Share(result.addedMs, 0.99),
                             "ms",
                             { { baseline, Share(one.addedMs, 0.99) } } });
    measurements.push_back({ "executed_share" + at,
                             PerOrder(result.executed, result),
                             "share",
                             { { baseline, PerOrder(one.executed, one) } } });
  }
  return measurements;
}

const CaseRegistration kOrdersShared({ "orders_8_daemons", MeasureShared });
const CaseRegistration kOrders1({ "orders_1", [] { return Measure(1.0, Seconds(600)); } });
const CaseRegistration kOrders10({ "orders_10", [] { return Measure(10.0, Seconds(200)); } });
const CaseRegistration kOrders100({ "orders_100", [] { return Measure(100.0, Seconds(60)); } });
const CaseRegistration kOrders1000({ "orders_1000", [] { return Measure(1000.0, Seconds(30)); } });

} // namespace

} // namespace masticstep::bench
