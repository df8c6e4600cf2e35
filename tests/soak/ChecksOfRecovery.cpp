#include "CheckSupport.hpp"

#include <algorithm>

namespace masticstep::soak {

namespace {

// Share of calls that the fleet must serve once all faults have ended.
constexpr double kMinServedShare = 0.9;

bool IsAlwaysRouted(const History& aHistory, const std::string& aPrefix)
{
  return std::all_of(
    aHistory.Configurations().begin(), aHistory.Configurations().end(),
    [&](const ConfigurationRecord& aRecord) { return aRecord.services.contains(aPrefix); });
}

} // namespace

void CheckRecovery(const History& aHistory, const CalmPeriod& aCalm, Findings& aFindings)
{
  std::size_t expected = 0;
  std::size_t served = 0;
  std::map<std::string, std::size_t> others;
  for (const CallRecord& call : aHistory.Calls()) {
    const bool isExpected = call.outcome != CallOutcome::Abandoned &&
                            call.outcome != CallOutcome::Waiting && !call.crashesEngines &&
                            IsAlwaysRouted(aHistory, call.prefix);
    if (call.sentAt < aCalm.begin || call.sentAt >= aCalm.end || !isExpected) {
      continue;
    }
    const bool isServed = call.outcome == CallOutcome::Answered && IsSuccess(call.status);
    expected += 1;
    served += isServed ? 1 : 0;
    if (!isServed) {
      const std::string outcome = call.outcome == CallOutcome::Answered
                                    ? "status " + std::to_string(call.status)
                                    : "outcome " + std::to_string(static_cast<int>(call.outcome));
      ++others[outcome];
    }
  }
  if (expected >= kMinCallsToJudge &&
      static_cast<double>(served) >= kMinServedShare * static_cast<double>(expected)) {
    return;
  }
  std::string text = std::to_string(served) + " of " + std::to_string(expected) +
                     " calls were served after the last fault";
  for (const auto& [outcome, count] : others) {
    text += ", " + std::to_string(count) + " " + outcome;
  }
  Add(aFindings, "recovery", text);
}

} // namespace masticstep::soak
