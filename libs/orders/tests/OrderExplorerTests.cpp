#include "OrderSimulation.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::orders;
using masticstep::testing::Explore;
using masticstep::testing::ExplorerReport;

namespace {

const std::string kKey = "20261204T040000Z-abcdefgh";
using Faults = FaultInjector::Faults;

// One call, retried on another daemon.
std::vector<Attempt> RetriedCall()
{
  return { { 0, kKey, "d" }, { 1, kKey, "d" } };
}

ExplorerReport Run(const std::string& aName, const OrderSimulation& aSimulation, std::size_t aDepth)
{
  ExplorerReport report = Explore(aSimulation, { aDepth });
  testing::Print(aName, report);
  return report;
}

void CheckInvariants(const std::string& aName, const OrderSimulation& aSimulation,
                     std::size_t aDepth)
{
  const ExplorerReport report = Run(aName, aSimulation, aDepth);
  CPPUNIT_ASSERT_EQUAL(std::string(), report.violation);
  CHECK_TRUE(report.exhausted);
}

void CheckDetectsFault(const std::string& aName, const Faults& aFaults, FaultBudget aBudget)
{
  const ExplorerReport report = Run(aName, OrderSimulation(2, RetriedCall(), aBudget, aFaults), 14);
  CHECK_FALSE(report.violation.empty());
}

} // namespace

// Checks invariants I5 (a request reported as not run has not been and will not be executed) and I6
// (at most one execution for each key) under lost, delayed and duplicated platform requests.
MASTICSTEP_TEST("no sequence of platform faults runs a key twice", "[orders][explorer]")
{
  CheckInvariants("orders, lost requests", OrderSimulation(2, RetriedCall(), { 0, 2, 1, 0, 0, 0 }),
                  14);
}

// Checks I5 and I6 under crashes of daemons and missing responses of the backend server.
MASTICSTEP_TEST("no sequence of crashes and backend failures runs a key twice",
                "[orders][explorer]")
{
  CheckInvariants("orders, crashes", OrderSimulation(2, RetriedCall(), { 2, 1, 1, 1, 0, 0 }), 13);
}

// Checks I5 and I6 when a daemon pauses for longer than the claim timeout and the deadline.
MASTICSTEP_TEST("no sequence of pauses runs a key twice", "[orders][explorer]")
{
  CheckInvariants("orders, pauses", OrderSimulation(2, RetriedCall(), { 0, 1, 0, 0, 3, 0 }), 13);
}

// Checks I6 when retention deletes a bucket while a daemon with a wrong clock uses it.
MASTICSTEP_TEST("no sequence with a deleted bucket runs a key twice", "[orders][explorer]")
{
  CheckInvariants("orders, retention", OrderSimulation(2, RetriedCall(), { 0, 1, 0, 0, 0, 1 }), 15);
  CheckInvariants("orders, retention, shard read first",
                  OrderSimulation(2, RetriedCall(), { 0, 1, 0, 0, 0, 1 }, {}, kWallTimeAfterKey),
                  15);
}

// Checks conflicting writes of three daemons to one shard.
MASTICSTEP_TEST("three daemons with two keys run each key once", "[orders][explorer]")
{
  const std::vector<Attempt> attempts{ { 0, kKey, "d" }, { 1, kKey, "d" }, { 2, kKey, "other" } };
  CheckInvariants("orders, three daemons", OrderSimulation(3, attempts, { 0, 1, 0, 0, 0, 0 }), 13);
}

// Validates the explorer itself: each fault that is injected into the protocol must be detected.
MASTICSTEP_TEST("the explorer detects each injected fault of the order protocol",
                "[orders][explorer][planted]")
{
  CheckDetectsFault("injected fault: dispatch before claim", Faults{ .dispatchBeforeClaim = true },
                    {});
  CheckDetectsFault("injected fault: claims without outcome run again",
                    Faults{ .dispatchClaimsWithoutOutcome = true }, {});
  CheckDetectsFault("injected fault: missing response reported as not run",
                    Faults{ .reportNoResponseAsNotRun = true }, { 0, 0, 0, 1, 0, 0 });
  CheckDetectsFault("injected fault: no read after a lost reply",
                    Faults{ .assumeLostRepliesApplied = true }, { 0, 1, 0, 0, 0, 0 });
  CheckDetectsFault("injected fault: no floor check", Faults{ .skipFloorCheck = true },
                    { 0, 0, 0, 0, 0, 1 });
}

// Random walks of up to 300 events with many faults of every kind. The test main fixes the
// RapidCheck seed.
MASTICSTEP_TEST("random walks keep every invariant", "[orders][property]")
{
  testing::CheckProperty("orders", [](std::uint64_t aSeed) {
    const std::vector<Attempt> attempts{
      { 0, kKey, "d" }, { 1, kKey, "d" }, { 2, kKey, "d" },
      { 0, kKey, "e" }, { 1, kKey, "d" }, { 0, "20261204T040000Z-ijklmnop", "d" }
    };
    const OrderSimulation simulation(3, attempts, { 2, 6, 3, 3, 6, 1 });
    const ExplorerReport report = testing::Walk(simulation, aSeed, 300);
    RC_ASSERT(report.violation == std::string());
  });
}
