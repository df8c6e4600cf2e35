#include "AuthorityWorld.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::authority;
using masticstep::testing::Explore;
using masticstep::testing::ExplorerReport;

namespace {

enum class From
{
  Start,     // nobody holds the lease
  Held,      // one daemon holds it and the other has seen it
  OrderSent, // and an order is on its way
  TakenOver  // and the other daemon took over before that order arrived
};

ExplorerReport Run(const std::string& aName, const WorldOptions& aOptions, From aFrom,
                   std::size_t aDepth)
{
  AuthorityWorld world(aOptions);
  if (aFrom == From::TakenOver) {
    world.PrepareTakeover();
  } else if (aFrom != From::Start) {
    world.Prepare(aFrom == From::OrderSent);
  }
  ExplorerReport report = Explore(world, { aDepth });
  testing::Print(aName, report);
  return report;
}

void CheckHolds(const std::string& aName, const WorldOptions& aOptions, From aFrom,
                std::size_t aDepth)
{
  const ExplorerReport report = Run(aName, aOptions, aFrom, aDepth);
  CPPUNIT_ASSERT_EQUAL(std::string(), report.violation);
  CHECK_TRUE(report.exhausted);
}

void CheckFinds(const std::string& aName, const WorldOptions& aOptions, From aFrom)
{
  CHECK_FALSE(Run(aName, aOptions, aFrom, 18).violation.empty());
}

// For faults whose shortest trace is too long for the breadth-first search.
void CheckWalksFind(const std::string& aName, const WorldOptions& aOptions)
{
  AuthorityWorld world(aOptions);
  world.Prepare(true);
  for (std::uint64_t seed = 1; seed <= 200000; ++seed) {
    const ExplorerReport report = testing::Walk(world, seed, 80);
    if (!report.violation.empty()) {
      std::cout << "  walked " << aName << ": violation in walk " << seed << " after "
                << report.transitions << " events: " << report.violation << "\n";
      return;
    }
  }
  CPPUNIT_FAIL("no walk found " + aName);
}

WorldOptions Waits(bool aRefuses, std::uint32_t aWaits)
{
  WorldOptions options;
  options.refusesOldFencing = aRefuses;
  options.waits = aWaits;
  return options;
}

} // namespace

// Guards the lease against two holders under pauses, losses and kills.
MASTICSTEP_TEST("no sequence of faults gives the lease to two daemons", "[authority][explorer]")
{
  WorldOptions options = Waits(true, 3);
  options.losses = 1;
  CheckHolds("lease, from start", options, From::Start, 14);
  options.kills = 1;
  CheckHolds("lease, held, kills", options, From::Held, 12);
}

// Guards I1 and I3 against pauses, lost platform calls and a silent engine that checks.
MASTICSTEP_TEST("no order of a fenced holder takes effect on a checking engine",
                "[authority][explorer]")
{
  WorldOptions options = Waits(true, 4);
  CheckHolds("checking engine, pauses", options, From::OrderSent, 18);
  CheckHolds("checking engine, late order", options, From::TakenOver, 20);
  options.silences = 2;
  CheckHolds("checking engine, silences", options, From::OrderSent, 14);
  options.losses = 1;
  options.kills = 1;
  CheckHolds("checking engine, losses and kills", options, From::OrderSent, 11);
}

// Guards I1 and I3 with an engine that ignores fencing numbers, outside the documented window.
MASTICSTEP_TEST("no order of a fenced holder takes effect on an ignoring engine",
                "[authority][explorer]")
{
  WorldOptions options = Waits(false, 5);
  CheckHolds("ignoring engine, pauses", options, From::OrderSent, 18);
  CheckHolds("ignoring engine, late order", options, From::TakenOver, 22);
  options.silences = 2;
  CheckHolds("ignoring engine, silences", options, From::OrderSent, 14);
}

// The explorer is worth nothing if it misses faults that are known to be there.
MASTICSTEP_TEST("the explorer finds each planted fault of the authority protocol",
                "[authority][explorer][planted]")
{
  WorldOptions options = Waits(true, 4);
  options.leaseFaults.countsFromAnswer = true;
  CheckFinds("planted: lease counted from the answer", options, From::Start);
  options = Waits(true, 4);
  options.losses = 1;
  options.leaseFaults.noReadBack = true;
  CheckFinds("planted: no read-back of the lease", options, From::Start);
  options = Waits(true, 4);
  options.leaseFaults.takesOverEarly = true;
  CheckFinds("planted: takeover before the lease lapsed", options, From::Held);
  options = Waits(true, 4);
  options.orderFaults.doesNotSettle = true;
  CheckFinds("planted: intent not settled", options, From::OrderSent);
  options = Waits(true, 4);
  options.orderFaults.sendsBeforeIntent = true;
  CheckFinds("planted: order sent before its intent", options, From::Held);
  options = Waits(false, 5);
  options.orderFaults.doesNotCheckLease = true;
  CheckWalksFind("planted: lease not checked before sending", options);
  options = Waits(false, 5);
  options.orderFaults.doesNotWaitForDeadline = true;
  CheckFinds("planted: ignoring engine, deadline not awaited", options, From::TakenOver);
}

// Long runs with many faults of every kind; the seed of RapidCheck is fixed by the test main.
MASTICSTEP_TEST("random runs never give an engine conflicting orders", "[authority][property]")
{
  testing::CheckProperty("authority", [](std::uint64_t aSeed, bool aRefuses) {
    WorldOptions options = Waits(aRefuses, 12);
    options.losses = 4;
    options.silences = 3;
    options.kills = 2;
    const ExplorerReport report = testing::Walk(AuthorityWorld(options), aSeed, 400);
    RC_ASSERT(report.violation == std::string());
  });
}
