#include "AuthorityModel.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::authority;
using masticstep::testing::Explore;
using masticstep::testing::ExplorerReport;

namespace {

enum class InitialState
{
  Start,     // the lease is free
  Held,      // daemon 0 holds the lease and daemon 1 has read it
  OrderSent, // daemon 0 holds the lease and its order is in flight
  TakenOver  // daemon 1 took over while an order of daemon 0 was in flight
};

ExplorerReport RunExplorer(const std::string& aName, const ModelOptions& aOptions,
                           InitialState aInitialState, std::size_t aDepth)
{
  AuthorityModel model(aOptions);
  if (aInitialState == InitialState::TakenOver) {
    model.PrepareTakeover();
  } else if (aInitialState != InitialState::Start) {
    model.Prepare(aInitialState == InitialState::OrderSent);
  }
  ExplorerReport report = Explore(model, { aDepth });
  testing::Print(aName, report);
  return report;
}

void CheckHolds(const std::string& aName, const ModelOptions& aOptions, InitialState aInitialState,
                std::size_t aDepth)
{
  const ExplorerReport report = RunExplorer(aName, aOptions, aInitialState, aDepth);
  CPPUNIT_ASSERT_EQUAL(std::string(), report.violation);
  CHECK_TRUE(report.exhausted);
}

void CheckFindsViolation(const std::string& aName, const ModelOptions& aOptions,
                         InitialState aInitialState)
{
  CHECK_FALSE(RunExplorer(aName, aOptions, aInitialState, 18).violation.empty());
}

// For faults whose shortest trace is too long for breadth-first search.
void CheckRandomWalkFindsViolation(const std::string& aName, const ModelOptions& aOptions)
{
  AuthorityModel model(aOptions);
  model.Prepare(true);
  for (std::uint64_t seed = 1; seed <= 200000; ++seed) {
    const ExplorerReport report = testing::Walk(model, seed, 80);
    if (!report.violation.empty()) {
      std::cout << "  walked " << aName << ": violation in walk " << seed << " after "
                << report.transitions << " events: " << report.violation << "\n";
      return;
    }
  }
  CPPUNIT_FAIL("no walk found " + aName);
}

ModelOptions MakeOptions(bool aRefuses, std::uint32_t aClockSteps)
{
  ModelOptions options;
  options.refusesOldFencing = aRefuses;
  options.clockSteps = aClockSteps;
  return options;
}

} // namespace

// Guards against two lease holders after pauses, lost platform requests or replies, and crashes.
MASTICSTEP_TEST("no sequence of faults gives the lease to two daemons", "[authority][explorer]")
{
  ModelOptions options = MakeOptions(true, 3);
  options.losses = 1;
  CheckHolds("lease, from start", options, InitialState::Start, 14);
  options.crashes = 1;
  CheckHolds("lease, held, kills", options, InitialState::Held, 12);
}

// Guards against two lease holders when the platform comes back from an older copy, which may have
// lost the lease, and assigns versions again.
MASTICSTEP_TEST("no restore of the platform gives the lease to two daemons",
                "[authority][explorer][restored]")
{
  ModelOptions options = MakeOptions(true, 4);
  options.restores = 1;
  CheckHolds("lease, restored", options, InitialState::Held, 14);
  options.losses = 1;
  options.crashes = 1;
  CheckHolds("lease, restored, losses and kills", options, InitialState::Held, 10);
}

// Guards invariants I1 and I3 for an engine that checks fencing tokens, under pauses, late orders,
// lost engine replies, lost platform requests or replies, and crashes.
MASTICSTEP_TEST("no order of a fenced holder takes effect on a checking engine",
                "[authority][explorer]")
{
  ModelOptions options = MakeOptions(true, 4);
  CheckHolds("checking engine, pauses", options, InitialState::OrderSent, 18);
  CheckHolds("checking engine, late order", options, InitialState::TakenOver, 20);
  options.unansweredSends = 2;
  CheckHolds("checking engine, silences", options, InitialState::OrderSent, 14);
  options.losses = 1;
  options.crashes = 1;
  CheckHolds("checking engine, losses and kills", options, InitialState::OrderSent, 11);
}

// Guards invariants I1 and I3 for an engine that ignores fencing tokens, except for the documented
// window after the deadline of an intent.
MASTICSTEP_TEST("no order of a fenced holder takes effect on an ignoring engine",
                "[authority][explorer]")
{
  ModelOptions options = MakeOptions(false, 5);
  CheckHolds("ignoring engine, pauses", options, InitialState::OrderSent, 18);
  CheckHolds("ignoring engine, late order", options, InitialState::TakenOver, 22);
  options.unansweredSends = 2;
  CheckHolds("ignoring engine, silences", options, InitialState::OrderSent, 14);
}

// Guards against orders of an earlier holder when the platform has lost the latest intents.
MASTICSTEP_TEST("no order of a fenced holder takes effect after a restore of the platform",
                "[authority][explorer][restored]")
{
  for (const bool refuses : { true, false }) {
    ModelOptions options = MakeOptions(refuses, 4);
    options.restores = 1;
    options.refusesWhileRunning = true;
    CheckHolds("restored, order on its way", options, InitialState::OrderSent, 13);
    CheckHolds("restored, takeover", options, InitialState::TakenOver, 14);
  }
}

// Guards against an exploration that misses protocol faults.
MASTICSTEP_TEST("the explorer finds each planted fault of the authority protocol",
                "[authority][explorer][planted]")
{
  ModelOptions options = MakeOptions(true, 4);
  options.leaseFaults.countsFromReply = true;
  CheckFindsViolation("planted: lease counted from the answer", options, InitialState::Start);
  options = MakeOptions(true, 4);
  options.losses = 1;
  options.leaseFaults.skipsReadBack = true;
  CheckFindsViolation("planted: no read-back of the lease", options, InitialState::Start);
  options = MakeOptions(true, 4);
  options.leaseFaults.takesOverEarly = true;
  CheckFindsViolation("planted: takeover before the lease lapsed", options, InitialState::Held);
  options = MakeOptions(true, 4);
  options.restores = 1;
  options.leaseFaults.ignoresEra = true;
  CheckFindsViolation("planted: era of the platform ignored", options, InitialState::Held);
  options = MakeOptions(true, 4);
  options.orderFaults.ignoresOutstandingIntent = true;
  CheckFindsViolation("planted: intent not settled", options, InitialState::OrderSent);
  options = MakeOptions(true, 4);
  options.orderFaults.sendsBeforeIntent = true;
  CheckFindsViolation("planted: order sent before its intent", options, InitialState::Held);
  options = MakeOptions(false, 5);
  options.orderFaults.skipsLeaseCheck = true;
  CheckRandomWalkFindsViolation("planted: lease not checked before sending", options);
  options = MakeOptions(false, 5);
  options.orderFaults.skipsDeadlineWait = true;
  CheckFindsViolation("planted: ignoring engine, deadline not awaited", options,
                      InitialState::TakenOver);
}

// Long random runs with many faults of every kind. The test main sets a fixed RapidCheck seed.
MASTICSTEP_TEST("random runs never give an engine conflicting orders", "[authority][property]")
{
  testing::CheckProperty("authority", [](std::uint64_t aSeed, bool aRefuses) {
    ModelOptions options = MakeOptions(aRefuses, 12);
    options.losses = 4;
    options.unansweredSends = 3;
    options.crashes = 2;
    const ExplorerReport report = testing::Walk(AuthorityModel(options), aSeed, 400);
    RC_ASSERT(report.violation == std::string());
  });
}
