#include "OrderWorld.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::orders;
using masticstep::testing::Explore;
using masticstep::testing::ExplorerReport;

namespace {

const std::string kKey = "20261204T040000Z-abcdefgh";
using Faults = PlantedFault::Faults;

// One call, retried at another daemon.
std::vector<Attempt> Retried()
{
  return { { 0, kKey, "d" }, { 1, kKey, "d" } };
}

ExplorerReport Run(const std::string& aName, const OrderWorld& aWorld, std::size_t aDepth)
{
  ExplorerReport report = Explore(aWorld, { aDepth });
  testing::Print(aName, report);
  return report;
}

void CheckHolds(const std::string& aName, const OrderWorld& aWorld, std::size_t aDepth)
{
  const ExplorerReport report = Run(aName, aWorld, aDepth);
  CPPUNIT_ASSERT_EQUAL(std::string(), report.violation);
  CHECK_TRUE(report.exhausted);
}

void CheckFinds(const std::string& aName, const Faults& aFaults, FaultBudget aBudget)
{
  const ExplorerReport report = Run(aName, OrderWorld(2, Retried(), aBudget, aFaults), 14);
  CHECK_FALSE(report.violation.empty());
}

} // namespace

// Guards I5 and I6 against lost, late and duplicated platform calls.
MASTICSTEP_TEST("no sequence of platform faults runs a key twice", "[orders][explorer]")
{
  CheckHolds("orders, lost calls", OrderWorld(2, Retried(), { 0, 2, 1, 0, 0, 0 }), 14);
}

// Guards I5 and I6 against kills and a silent backend server.
MASTICSTEP_TEST("no sequence of kills and silences runs a key twice", "[orders][explorer]")
{
  CheckHolds("orders, kills", OrderWorld(2, Retried(), { 2, 1, 1, 1, 0, 0 }), 13);
}

// Guards I5 and I6 against pauses past patience and deadline.
MASTICSTEP_TEST("no sequence of pauses runs a key twice", "[orders][explorer]")
{
  CheckHolds("orders, pauses", OrderWorld(2, Retried(), { 0, 1, 0, 0, 3, 0 }), 13);
}

// Guards I6 against a bucket that is dropped while a daemon with a wrong clock uses it.
MASTICSTEP_TEST("no sequence with a dropped bucket runs a key twice", "[orders][explorer]")
{
  CheckHolds("orders, retention", OrderWorld(2, Retried(), { 0, 1, 0, 0, 0, 1 }), 15);
  CheckHolds("orders, retention, shard read first",
             OrderWorld(2, Retried(), { 0, 1, 0, 0, 0, 1 }, {}, kLaterWall), 15);
}

// Guards against conflicts among three daemons and two keys of one shard.
MASTICSTEP_TEST("three daemons with two keys run each key once", "[orders][explorer]")
{
  const std::vector<Attempt> attempts{ { 0, kKey, "d" }, { 1, kKey, "d" }, { 2, kKey, "other" } };
  CheckHolds("orders, three daemons", OrderWorld(3, attempts, { 0, 1, 0, 0, 0, 0 }), 13);
}

// The explorer is worth nothing if it misses faults that are known to be there.
MASTICSTEP_TEST("the explorer finds each planted fault of the order protocol",
                "[orders][explorer][planted]")
{
  CheckFinds("planted: dispatch before claim", Faults{ .dispatchBeforeClaim = true }, {});
  CheckFinds("planted: claims without outcome run again",
             Faults{ .runsClaimsWithoutOutcome = true }, {});
  CheckFinds("planted: silence reported as not run", Faults{ .silentBackendIsNotRun = true },
             { 0, 0, 0, 1, 0, 0 });
  CheckFinds("planted: no read-back", Faults{ .assumeLostAnswersApplied = true },
             { 0, 1, 0, 0, 0, 0 });
  CheckFinds("planted: no floor check", Faults{ .skipFloorCheck = true }, { 0, 0, 0, 0, 0, 1 });
}

// Long runs with many faults of every kind; the seed of RapidCheck is fixed by the test main.
MASTICSTEP_TEST("random runs keep every promise", "[orders][property]")
{
  testing::CheckProperty("orders", [](std::uint64_t aSeed) {
    const std::vector<Attempt> attempts{
      { 0, kKey, "d" }, { 1, kKey, "d" }, { 2, kKey, "d" },
      { 0, kKey, "e" }, { 1, kKey, "d" }, { 0, "20261204T040000Z-ijklmnop", "d" }
    };
    const OrderWorld world(3, attempts, { 2, 6, 3, 3, 6, 1 });
    const ExplorerReport report = testing::Walk(world, aSeed, 300);
    RC_ASSERT(report.violation == std::string());
  });
}
