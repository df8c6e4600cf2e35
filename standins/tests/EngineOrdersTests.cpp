#include "engine_standin/EngineOrders.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep::standins;

namespace {

EngineOrder OrderOf(const std::string& aId, std::int64_t aFencing)
{
  return { aId, aFencing, "set_role", "decode" };
}

} // namespace

// Guards against executing an order of a former lease holder.
MASTICSTEP_TEST("orders with outdated fencing numbers are rejected", "[engine][order]")
{
  EngineOrders orders(true);
  CHECK_TRUE(orders.Submit(OrderOf("a", 5)) == OrderOutcome::Accepted);
  orders.Finish();
  CHECK_TRUE(orders.Submit(OrderOf("b", 4)) == OrderOutcome::OldFencing);
  CHECK_TRUE(orders.Submit(OrderOf("a", 4)) == OrderOutcome::OldFencing);
  CHECK_TRUE(orders.Submit(OrderOf("a", 6)) == OrderOutcome::Repeated);
  CHECK_TRUE(orders.Submit(OrderOf("b", 5)) == OrderOutcome::OldFencing);
}

// Guards against two concurrent orders, and against an accepted outdated order that is not counted.
MASTICSTEP_TEST("an engine runs one order at a time", "[engine][order]")
{
  EngineOrders orders(false);
  CHECK_TRUE(orders.Submit(OrderOf("a", 5)) == OrderOutcome::Accepted);
  CHECK_TRUE(orders.Submit(OrderOf("b", 5)) == OrderOutcome::Conflict);
  CHECK_TRUE(orders.Submit(OrderOf("a", 5)) == OrderOutcome::Repeated);
  orders.Finish();
  CHECK_TRUE(orders.Submit(OrderOf("b", 4)) == OrderOutcome::Accepted);
  CHECK_EQUAL(std::uint64_t{ 1 }, orders.Counters().acceptedOldFencing);
}
