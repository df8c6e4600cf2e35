#include "engine_standin/EngineOrders.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep::standins;

namespace {

EngineOrder OrderOf(const std::string& aId, std::int64_t aFencing)
{
  return { aId, aFencing, "set_role", "decode" };
}

} // namespace

// Guards against an engine that runs an order of a holder that has lost its lease.
MASTICSTEP_TEST("an engine that checks fencing refuses old numbers", "[engine][order]")
{
  EngineOrders orders(true);
  CHECK_TRUE(orders.Submit(OrderOf("a", 5)) == OrderVerdict::Accepted);
  orders.Finish();
  CHECK_TRUE(orders.Submit(OrderOf("b", 4)) == OrderVerdict::OldFencing);
  CHECK_TRUE(orders.Submit(OrderOf("a", 4)) == OrderVerdict::OldFencing);
  CHECK_TRUE(orders.Submit(OrderOf("a", 6)) == OrderVerdict::Repeated);
  CHECK_TRUE(orders.Submit(OrderOf("b", 5)) == OrderVerdict::OldFencing);
}

// Guards against an engine that holds two orders, and against hiding that an old one was run.
MASTICSTEP_TEST("an engine runs one order at a time", "[engine][order]")
{
  EngineOrders orders(false);
  CHECK_TRUE(orders.Submit(OrderOf("a", 5)) == OrderVerdict::Accepted);
  CHECK_TRUE(orders.Submit(OrderOf("b", 5)) == OrderVerdict::Conflict);
  CHECK_TRUE(orders.Submit(OrderOf("a", 5)) == OrderVerdict::Repeated);
  orders.Finish();
  CHECK_TRUE(orders.Submit(OrderOf("b", 4)) == OrderVerdict::Accepted);
  CHECK_EQUAL(std::uint64_t{ 1 }, orders.Counters().acceptedOldFencing);
}
