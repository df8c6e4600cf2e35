#include "Checks.hpp"
#include "CheckSupport.hpp"

#include <algorithm>
#include <set>

namespace masticstep::soak {

namespace {

constexpr Duration kLatenessTolerance = Milliseconds(500);

bool IsRefusal(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

using RunsByCall = std::map<std::string, std::vector<const RunRecord*>>;

RunsByCall GroupRuns(const History& aHistory)
{
  RunsByCall runs;
  for (const RunRecord& run : aHistory.Runs()) {
    runs[run.callId].push_back(&run);
  }
  return runs;
}

const std::vector<const RunRecord*>& RunsOf(const RunsByCall& aRuns, const std::string& aId)
{
  static const std::vector<const RunRecord*> kNone;
  const RunsByCall::const_iterator it = aRuns.find(aId);
  return it == aRuns.end() ? kNone : it->second;
}

const RunRecord* FindStamp(const std::vector<const RunRecord*>& aRuns, const std::string& aStamp)
{
  for (const RunRecord* run : aRuns) {
    if (run->stamp == aStamp) {
      return run;
    }
  }
  return nullptr;
}

// Returns the text of event aNumber without the terminating empty line.
std::string EventText(const CallRecord& aCall, std::uint64_t aNumber)
{
  const std::string number = std::to_string(aNumber);
  return "id: " + number + "\ndata: " + aCall.id + "/" + number;
}

// Returns the number of complete events in the body, or nullopt if one of them is unexpected or out
// of order.
std::optional<std::uint64_t> CountEvents(const CallRecord& aCall)
{
  std::uint64_t count = 0;
  std::size_t begin = 0;
  while (true) {
    const std::size_t end = aCall.body.find("\n\n", begin);
    if (end == std::string::npos) {
      break;
    }
    if (aCall.body.substr(begin, end - begin) != EventText(aCall, aCall.lastEventId + count + 1)) {
      return std::nullopt;
    }
    ++count;
    begin = end + 2;
  }
  return count;
}

} // namespace

void CheckRunsOnce(const History& aHistory, Findings& aFindings)
{
  const RunsByCall runs = GroupRuns(aHistory);
  for (const CallRecord& call : aHistory.Calls()) {
    const std::size_t count = RunsOf(runs, call.id).size();
    if (!MayRepeat(call.kind) && count > 1) {
      Add(aFindings, "runs-once", "call " + call.id + " ran " + std::to_string(count) + " times");
    }
  }
}

void CheckRefusals(const History& aHistory, Findings& aFindings)
{
  const RunsByCall runs = GroupRuns(aHistory);
  for (const CallRecord& call : aHistory.Calls()) {
    const bool isRefused = call.outcome == CallOutcome::Answered && IsRefusal(call.status);
    if (isRefused && !MayRepeat(call.kind) && !RunsOf(runs, call.id).empty()) {
      Add(aFindings, "refusal-true",
          "call " + call.id + " got " + std::to_string(call.status) + " and ran");
    }
  }
}

void CheckAnswers(const History& aHistory, Findings& aFindings)
{
  const RunsByCall runs = GroupRuns(aHistory);
  for (const CallRecord& call : aHistory.Calls()) {
    if (call.hasExtraBytes) {
      Add(aFindings, "answer-whole", "call " + call.id + " got bytes after its answer");
    }
    if (call.outcome != CallOutcome::Answered) {
      continue;
    }
    const RunRecord* run = FindStamp(RunsOf(runs, call.id), call.stamp);
    if (IsSuccess(call.status) && (call.stamp.empty() || run == nullptr)) {
      Add(aFindings, "answer-whole",
          "call " + call.id + " got a success response that no engine sent");
    } else if (run != nullptr && run->status != call.status) {
      Add(aFindings, "answer-whole",
          "call " + call.id + " got a status other than the one its engine sent");
    } else if (run != nullptr && !IsStream(call.kind) && run->body != call.body) {
      Add(aFindings, "answer-whole",
          "call " + call.id + " got a body other than the one its engine sent");
    } else if (run == nullptr && !call.stamp.empty()) {
      Add(aFindings, "answer-whole", "call " + call.id + " got the response stamp of another call");
    }
  }
}

void CheckStreams(const History& aHistory, Findings& aFindings)
{
  for (const CallRecord& call : aHistory.Calls()) {
    if (!IsStream(call.kind) || !IsSuccess(call.status)) {
      continue;
    }
    const std::optional<std::uint64_t> count = CountEvents(call);
    if (!count) {
      Add(aFindings, "stream-order", "call " + call.id + " got events out of order: " + call.body);
    } else if (call.outcome == CallOutcome::Answered && call.lastEventId + *count != call.events) {
      Add(aFindings, "stream-order",
          "call " + call.id + " ended normally after " + std::to_string(call.lastEventId + *count) +
            " of " + std::to_string(call.events) + " events");
    }
  }
}

void CheckMessages(const History& aHistory, Findings& aFindings)
{
  for (const ArrivalRecord& arrival : aHistory.Arrivals()) {
    if (!arrival.isAsSent) {
      Add(aFindings, "message-as-sent",
          "engine " + arrival.engine + " received a message that no caller sent, id '" +
            arrival.callId + "'");
    }
  }
  for (const RunRecord& run : aHistory.Runs()) {
    if (run.usesOtherCallsPrompt) {
      Add(aFindings, "message-as-sent",
          "call " + run.callId + " continued from the prompt of another call");
    }
  }
}

void CheckAttempts(const History& aHistory, const Bounds& aBounds, Findings& aFindings)
{
  for (const auto& [id, runs] : GroupRuns(aHistory)) {
    std::set<std::string> engines;
    for (const RunRecord* run : runs) {
      if (!run->hasCrashed) {
        engines.insert(run->engine);
      }
    }
    if (engines.size() > aBounds.attempts) {
      Add(aFindings, "attempts",
          "call " + id + " ran on " + std::to_string(engines.size()) + " engines");
    }
  }
}

namespace {

// Returns the arrival times of repeated messages by service: all but the first accepted
// prefill and the first other message of each call.
std::map<std::string, std::vector<Time>> Repeats(const History& aHistory)
{
  std::map<std::string, std::vector<Time>> repeats;
  std::set<std::string> prefilled;
  std::set<std::string> sent;
  for (const ArrivalRecord& arrival : aHistory.Arrivals()) {
    const bool isFirstPrefill =
      arrival.isPrefill && !arrival.isRefused && prefilled.insert(arrival.callId).second;
    const bool isFirstRun = !arrival.isPrefill && sent.insert(arrival.callId).second;
    if (!isFirstPrefill && !isFirstRun) {
      repeats[arrival.service].push_back(arrival.at);
    }
  }
  return repeats;
}

std::size_t CountBetween(const std::vector<Time>& aTimes, Time aFrom, Time aUntil)
{
  return static_cast<std::size_t>(std::count_if(
    aTimes.begin(), aTimes.end(), [&](Time aTime) { return aTime > aFrom && aTime <= aUntil; }));
}

std::vector<Time> CallsFor(const History& aHistory, const std::string& aService)
{
  std::vector<Time> times;
  for (const CallRecord& call : aHistory.Calls()) {
    for (const ConfigurationRecord& configuration : aHistory.Configurations()) {
      const std::map<std::string, std::string>::const_iterator it =
        configuration.services.find(call.prefix);
      if (it != configuration.services.end() && it->second == aService) {
        times.push_back(call.sentAt);
        break;
      }
    }
  }
  return times;
}

} // namespace

void CheckRetryBudget(const History& aHistory, const Bounds& aBounds, Findings& aFindings)
{
  const Duration window = aBounds.retryWindow;
  for (const auto& [service, repeats] : Repeats(aHistory)) {
    const std::vector<Time> calls = CallsFor(aHistory, service);
    for (const Time end : repeats) {
      const std::size_t maxCalls =
        std::max({ CountBetween(calls, end - window, end),
                   CountBetween(calls, end - window * 2, end - window),
                   CountBetween(calls, end - window * 3 / 2, end - window / 2) });
      const double allowed =
        aBounds.retryRatio * static_cast<double>(maxCalls) + aBounds.retrySlack;
      const std::size_t count = CountBetween(repeats, end - window, end);
      if (static_cast<double>(count) > allowed) {
        Add(aFindings, "retry-budget",
            "service " + service + " got " + std::to_string(count) + " repeats for " +
              std::to_string(maxCalls) + " calls");
        break;
      }
    }
  }
}

namespace {

// Returns the configurations that a daemon may apply to a call: the newest that must be in force
// when the call is sent, and those written before the call ended.
std::vector<const ConfigurationRecord*> Candidates(const History& aHistory, const CallRecord& aCall,
                                                   Duration aApply)
{
  std::vector<const ConfigurationRecord*> candidates;
  for (const ConfigurationRecord& configuration : aHistory.Configurations()) {
    if (configuration.acknowledgedAt + aApply <= aCall.sentAt) {
      candidates.clear();
    }
    if (configuration.sentAt <= aCall.endedAt) {
      candidates.push_back(&configuration);
    }
  }
  return candidates;
}

bool Allows(const std::vector<const ConfigurationRecord*>& aCandidates, const std::string& aPrefix,
            const std::string& aService)
{
  return std::any_of(
    aCandidates.begin(), aCandidates.end(), [&](const ConfigurationRecord* aRecord) {
      const std::map<std::string, std::string>::const_iterator it = aRecord->services.find(aPrefix);
      return it == aRecord->services.end() ? aService.empty() : it->second == aService;
    });
}

} // namespace

void CheckConfiguration(const History& aHistory, const Bounds& aBounds, Findings& aFindings)
{
  const RunsByCall runs = GroupRuns(aHistory);
  std::vector<const ConfigurationRecord*> all;
  for (const ConfigurationRecord& configuration : aHistory.Configurations()) {
    all.push_back(&configuration);
  }
  for (const CallRecord& call : aHistory.Calls()) {
    if (call.outcome == CallOutcome::NotSent || call.outcome == CallOutcome::Waiting) {
      continue;
    }
    const bool isFaultFree =
      aHistory.IsDaemonFaultFree(call.daemon, call.sentAt - aBounds.contact, call.endedAt);
    const std::vector<const ConfigurationRecord*> candidates =
      isFaultFree ? Candidates(aHistory, call, aBounds.configuration) : all;
    if (call.outcome == CallOutcome::Answered && call.status == 404 &&
        !Allows(candidates, call.prefix, {})) {
      Add(aFindings, "configuration",
          "call " + call.id + " got 404 on " + call.prefix + " from daemon " +
            std::to_string(call.daemon));
    }
    for (const RunRecord* run : RunsOf(runs, call.id)) {
      if (!Allows(candidates, call.prefix, run->service)) {
        Add(aFindings, "configuration",
            "call " + call.id + " on " + call.prefix + " ran at " + run->service + " by daemon " +
              std::to_string(call.daemon));
      }
    }
  }
}

void CheckDrain(const History& aHistory, const Bounds& aBounds, Findings& aFindings)
{
  for (const DrainRecord& drainRecord : aHistory.Drains()) {
    const Time bound = drainRecord.acknowledgedAt + aBounds.drain;
    for (const ArrivalRecord& arrival : aHistory.Arrivals()) {
      if (arrival.engine != drainRecord.engine || arrival.at <= bound || arrival.isMisdirected) {
        continue;
      }
      const CallRecord* call = aHistory.FindCall(arrival.callId);
      if (call != nullptr &&
          aHistory.IsDaemonFaultFree(call->daemon, drainRecord.acknowledgedAt - aBounds.contact,
                                     arrival.at)) {
        Add(aFindings, "drain",
            "call " + arrival.callId + " reached the draining engine " + arrival.engine + " " +
              FormatSeconds(arrival.at - drainRecord.acknowledgedAt) +
              " after its drain notice, by daemon " + std::to_string(call->daemon));
      }
    }
  }
}

void CheckPlannedStops(const History& aHistory, const Bounds& aBounds, Findings& aFindings)
{
  std::set<std::string> arrived;
  for (const ArrivalRecord& arrival : aHistory.Arrivals()) {
    arrived.insert(arrival.callId);
  }
  for (const StopRecord& stop : aHistory.Stops()) {
    const Time until = stop.at + aBounds.grace + Seconds(1);
    for (const CallRecord& call : aHistory.Calls()) {
      const bool isCut = call.daemon == stop.daemon && call.outcome == CallOutcome::Cut &&
                         call.endedAt >= stop.at && call.endedAt <= until &&
                         call.endedAt + kClockTolerance < call.sentAt + call.timeout;
      if (!isCut || !aHistory.IsSystemFaultFree(call.sentAt - aBounds.contact, call.endedAt)) {
        continue;
      }
      if (arrived.contains(call.id) || call.endedAt - call.sentAt > aBounds.lossSlack) {
        Add(aFindings, "planned-stop",
            "call " + call.id + " was cut " + FormatSeconds(call.endedAt - stop.at) +
              " after daemon " + std::to_string(stop.daemon) + " was asked to stop");
      }
    }
  }
}

void CheckTimeouts(const History& aHistory, const Bounds& aBounds, Findings& aFindings)
{
  std::size_t count = 0;
  std::string example;
  for (const CallRecord& call : aHistory.Calls()) {
    const bool isLate = call.outcome == CallOutcome::TimedOut ||
                        (call.outcome == CallOutcome::Answered &&
                         call.endedAt > call.sentAt + call.timeout + kLatenessTolerance);
    if (isLate &&
        aHistory.IsDaemonFaultFree(call.daemon, call.sentAt - aBounds.contact, call.endedAt)) {
      ++count;
      example = call.id;
    }
  }
  if (count > kMaxTolerated) {
    Add(aFindings, "timeout",
        std::to_string(count) + " calls were not answered in time, such as " + example);
  }
}

void CheckAbandonedCalls(const History& aHistory, const Bounds& aBounds, Findings& aFindings)
{
  std::size_t count = 0;
  std::string example;
  for (const ArrivalRecord& arrival : aHistory.Arrivals()) {
    const CallRecord* call = aHistory.FindCall(arrival.callId);
    const bool isLate = call != nullptr && call->outcome == CallOutcome::Abandoned &&
                        arrival.at > call->endedAt + kLatenessTolerance;
    if (isLate && aHistory.IsSystemFaultFree(call->sentAt - aBounds.contact, arrival.at)) {
      ++count;
      example = arrival.callId;
    }
  }
  if (count > kMaxTolerated) {
    Add(aFindings, "caller-left",
        std::to_string(count) + " messages were sent for calls that had been abandoned, such as " +
          example);
  }
}

void CheckOrders(const History& aHistory, const Bounds& aBounds, Findings& aFindings)
{
  std::map<std::string, std::vector<const OrderRecord*>> byEngine;
  for (const OrderRecord& order : aHistory.Orders()) {
    byEngine[order.engine].push_back(&order);
  }
  for (const auto& [engine, orders] : byEngine) {
    std::uint64_t highest = 0;
    std::map<std::uint64_t, std::string> holders;
    const OrderRecord* last = nullptr;
    for (const OrderRecord* order : orders) {
      if (order->isAccepted && order->fencing < highest) {
        Add(aFindings, "one-holder",
            "engine " + engine + " accepted an order with an outdated fencing number");
      }
      highest = order->isAccepted ? std::max(highest, order->fencing) : highest;
      const std::string& first = holders.try_emplace(order->fencing, order->holder).first->second;
      if (first != order->holder) {
        Add(aFindings, "one-holder",
            first + " and " + order->holder + " used fencing number " +
              std::to_string(order->fencing));
      }
      if (last != nullptr && last->holder != order->holder && last->isAccepted &&
          order->isAccepted && order->at < last->at + aBounds.lease) {
        Add(aFindings, "one-holder",
            last->holder + " and " + order->holder + " sent orders to " + engine + " within " +
              FormatSeconds(order->at - last->at));
      }
      last = order->isAccepted ? order : last;
    }
  }
}

Summary Summarize(const History& aHistory)
{
  Summary summary;
  summary.calls = aHistory.Calls().size();
  summary.runs = aHistory.Runs().size();
  summary.orders = aHistory.Orders().size();
  for (const CallRecord& call : aHistory.Calls()) {
    summary.served += call.outcome == CallOutcome::Answered && IsSuccess(call.status) ? 1 : 0;
  }
  return summary;
}

Findings CheckAll(const History& aHistory, const Bounds& aBounds, const CalmPeriod& aCalm)
{
  Findings findings;
  for (const std::string& problem : aHistory.Problems()) {
    Add(findings, "process", problem);
  }
  CheckRunsOnce(aHistory, findings);
  CheckRefusals(aHistory, findings);
  CheckAnswers(aHistory, findings);
  CheckStreams(aHistory, findings);
  CheckMessages(aHistory, findings);
  CheckAttempts(aHistory, aBounds, findings);
  CheckRetryBudget(aHistory, aBounds, findings);
  CheckCrashingPrompts(aHistory, aBounds, findings);
  CheckCrashingRequests(aHistory, aBounds, findings);
  CheckRequestLimits(aHistory, aBounds, findings);
  CheckConfiguration(aHistory, aBounds, findings);
  CheckDrain(aHistory, aBounds, findings);
  CheckPlannedStops(aHistory, aBounds, findings);
  CheckTimeouts(aHistory, aBounds, findings);
  CheckBrokenAnswers(aHistory, aBounds, findings);
  CheckAbandonedCalls(aHistory, aBounds, findings);
  CheckOrders(aHistory, aBounds, findings);
  CheckRecovery(aHistory, aCalm, findings);
  return findings;
}

} // namespace masticstep::soak
