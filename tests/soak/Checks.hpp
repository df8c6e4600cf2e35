#pragma once

#include "History.hpp"

namespace masticstep::soak {

// Limits that are written to the daemon settings and enforced by the checks.
struct Bounds
{
  Duration contact = Seconds(4);
  Duration drain = Milliseconds(2500);
  Duration configuration = Milliseconds(2500);
  Duration lease = Seconds(3);
  Duration recovery = Seconds(12);
  Duration lossSlack = Milliseconds(200);
  Duration grace = Seconds(8);
  double retryRatio = 0.2;
  double retrySlack = 20;
  Duration retryWindow = Seconds(10);
  std::uint32_t attempts = 3; // maximum number of servers on which one repeatable call may run
};

// A request reaches the daemon, which measures the time of its route, before its caller notes that
// it is sent.
constexpr Duration kClockTolerance = Milliseconds(200);

struct Finding
{
  std::string rule;
  std::string text;

  bool operator==(const Finding&) const = default;
};

using Findings = std::vector<Finding>;

// Each check appends its findings. Finding::rule names the violated guarantee.
void CheckRunsOnce(const History& aHistory, Findings& aFindings);
void CheckRefusals(const History& aHistory, Findings& aFindings);
void CheckAnswers(const History& aHistory, Findings& aFindings);
void CheckStreams(const History& aHistory, Findings& aFindings);
void CheckMessages(const History& aHistory, Findings& aFindings);
void CheckAttempts(const History& aHistory, const Bounds& aBounds, Findings& aFindings);
void CheckRetryBudget(const History& aHistory, const Bounds& aBounds, Findings& aFindings);
void CheckConfiguration(const History& aHistory, const Bounds& aBounds, Findings& aFindings);
void CheckDrain(const History& aHistory, const Bounds& aBounds, Findings& aFindings);
void CheckPlannedStops(const History& aHistory, const Bounds& aBounds, Findings& aFindings);
void CheckTimeouts(const History& aHistory, const Bounds& aBounds, Findings& aFindings);
// An answer must not end before its caller's deadline and the timeout of its route while its engine
// only falls silent.
void CheckBrokenAnswers(const History& aHistory, const Bounds& aBounds, Findings& aFindings);
void CheckAbandonedCalls(const History& aHistory, const Bounds& aBounds, Findings& aFindings);
// Few requests with a prompt part that crashes engines may reach engines once several have ended,
// and the other requests with the same first part must be served.
void CheckCrashingPrompts(const History& aHistory, const Bounds& aBounds, Findings& aFindings);
// A request that crashes engines may reach few of them once some have ended under it.
void CheckCrashingRequests(const History& aHistory, const Bounds& aBounds, Findings& aFindings);
// An engine that names a limit must not get more requests from the daemons that it has told, and
// gets requests again once it names none.
void CheckRequestLimits(const History& aHistory, const Bounds& aBounds, Findings& aFindings);
void CheckOrders(const History& aHistory, const Bounds& aBounds, Findings& aFindings);
// Period of a run in which no fault is active and no daemon is asked to stop.
struct CalmPeriod
{
  Time begin;
  Time end; // all daemons are asked to stop
};

// Most calls sent in the period must be served.
void CheckRecovery(const History& aHistory, const CalmPeriod& aCalm, Findings& aFindings);

// Totals of a run.
struct Summary
{
  std::uint64_t calls = 0;
  std::uint64_t served = 0;
  std::uint64_t runs = 0;
  std::uint64_t orders = 0;
};

Summary Summarize(const History& aHistory);

Findings CheckAll(const History& aHistory, const Bounds& aBounds, const CalmPeriod& aCalm);

} // namespace masticstep::soak
