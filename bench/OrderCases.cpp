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
  options.daemons = 8; // of one installation, without an owner per shard
  const OrderLoadResult shared = RunShardOrders(options);
  options.daemons = 1;
  options.answerBytes = 2000;
  const OrderLoadResult large = RunShardOrders(options);
  return {
    { "writes_per_order",
      PerOrder(shards.writes, shards),
      "writes",
      { { kBaseline, PerOrder(objects.writes, objects) } } },
    { "writes_per_order_2000_byte_answers", PerOrder(large.writes, large), "writes", {} },
    { "writes_per_order_8_daemons", PerOrder(shared.writes, shared), "writes", {} },
    { "reads_per_order_8_daemons", PerOrder(shared.reads, shared), "reads", {} },
    { "added_latency_8_daemons_ms", Share(shared.addedMs, 0.5), "ms (median)", {} },
    { "added_latency_p99_8_daemons_ms", Share(shared.addedMs, 0.99), "ms", {} },
    { "executed_share_8_daemons", PerOrder(shared.executed, shared), "share", {} },
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

const CaseRegistration kOrders1({ "orders_1", [] { return Measure(1.0, Seconds(600)); } });
const CaseRegistration kOrders10({ "orders_10", [] { return Measure(10.0, Seconds(200)); } });
const CaseRegistration kOrders100({ "orders_100", [] { return Measure(100.0, Seconds(60)); } });
const CaseRegistration kOrders1000({ "orders_1000", [] { return Measure(1000.0, Seconds(30)); } });

} // namespace

} // namespace masticstep::bench
