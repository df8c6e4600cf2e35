#include "Checks.hpp"

#include <algorithm>
#include <set>
#include <sstream>

namespace masticstep::soak {

namespace {

// The pages allow a few of these, since callers and daemons see a close at different times.
constexpr std::size_t kFew = 3;
constexpr Duration kLate = Milliseconds(500);
// Share of calls that a fleet without faults must serve again.
constexpr double kServedWhenCalm = 0.9;
constexpr std::size_t kTooFewToJudge = 20;

void Add(Findings& aFindings, const char* aRule, const std::string& aText)
{
  aFindings.push_back({ aRule, aText });
}

std::string InSeconds(Duration aSpan)
{
  std::ostringstream text;
  text << ToSeconds(aSpan) << " s";
  return text.str();
}

bool IsRefusal(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

bool IsSuccess(unsigned aStatus)
{
  return aStatus >= 200 && aStatus < 300;
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

// Text of the event with the number, without the empty line that ends it.
std::string EventText(const CallRecord& aCall, std::uint64_t aNumber)
{
  const std::string number = std::to_string(aNumber);
  return "id: " + number + "\ndata: " + aCall.id + "/" + number;
}

// Returns how many events of the stream a body holds in order; nothing if it holds anything else.
std::optional<std::uint64_t> CountEvents(const CallRecord& aCall)
{
  std::uint64_t count = 0;
  std::size_t begin = 0;
  while (true) {
    const std::size_t end = aCall.body.find("\n\n", begin);
    if (end == std::string::npos) {
      break;
    }
    if (aCall.body.substr(begin, end - begin) != EventText(aCall, count + 1)) {
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
    const bool isRefused = call.ending == Ending::Answered && IsRefusal(call.status);
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
    if (call.ending != Ending::Answered) {
      continue;
    }
    const RunRecord* run = FindStamp(RunsOf(runs, call.id), call.stamp);
    if (IsSuccess(call.status) && (call.stamp.empty() || run == nullptr)) {
      Add(aFindings, "answer-whole", "call " + call.id + " got a success of no engine");
    } else if (run != nullptr && run->status != call.status) {
      Add(aFindings, "answer-whole",
          "call " + call.id + " got another status than its engine gave");
    } else if (run != nullptr && !IsStream(call.kind) && run->body != call.body) {
      Add(aFindings, "answer-whole", "call " + call.id + " got another body than its engine gave");
    } else if (run == nullptr && !call.stamp.empty()) {
      Add(aFindings, "answer-whole", "call " + call.id + " got the stamp of another call");
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
    } else if (call.ending == Ending::Answered && *count != call.events) {
      Add(aFindings, "stream-order",
          "call " + call.id + " ended as whole after " + std::to_string(*count) + " of " +
            std::to_string(call.events) + " events");
    }
  }
}

void CheckMessages(const History& aHistory, Findings& aFindings)
{
  for (const ArrivalRecord& arrival : aHistory.Arrivals()) {
    if (!arrival.isAsSent) {
      Add(aFindings, "message-as-sent",
          "engine " + arrival.engine + " got a message that no caller sent, id '" + arrival.callId +
            "'");
    }
  }
  for (const RunRecord& run : aHistory.Runs()) {
    if (run.isFromForeignMemory) {
      Add(aFindings, "message-as-sent",
          "call " + run.callId + " went on from the memory of another call");
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

// Messages beyond the first of each call, by service: when they arrived.
std::map<std::string, std::vector<Time>> Repeats(const History& aHistory)
{
  std::map<std::string, std::vector<Time>> repeats;
  std::set<std::string> read;
  std::set<std::string> sent;
  for (const ArrivalRecord& arrival : aHistory.Arrivals()) {
    const bool isFirstRead =
      arrival.readsPromptOnly && !arrival.isRefused && read.insert(arrival.callId).second;
    const bool isFirstRun = !arrival.readsPromptOnly && sent.insert(arrival.callId).second;
    if (!isFirstRead && !isFirstRun) {
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
      const std::size_t most =
        std::max({ CountBetween(calls, end - window, end),
                   CountBetween(calls, end - window * 2, end - window),
                   CountBetween(calls, end - window * 3 / 2, end - window / 2) });
      const double allowed = aBounds.retryRatio * static_cast<double>(most) + aBounds.retrySlack;
      const std::size_t count = CountBetween(repeats, end - window, end);
      if (static_cast<double>(count) > allowed) {
        Add(aFindings, "retry-budget",
            "service " + service + " got " + std::to_string(count) + " repeats for " +
              std::to_string(most) + " calls");
        break;
      }
    }
  }
}

namespace {

// Versions that a daemon may follow for a call: the newest that must be in force, and later ones.
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
    if (call.ending == Ending::NotSent || call.ending == Ending::Waiting) {
      continue;
    }
    const bool isCalm = aHistory.IsCalm(call.daemon, call.sentAt - aBounds.contact, call.endedAt);
    const std::vector<const ConfigurationRecord*> candidates =
      isCalm ? Candidates(aHistory, call, aBounds.configuration) : all;
    if (call.ending == Ending::Answered && call.status == 404 &&
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
  for (const LeaveRecord& leave : aHistory.Leaves()) {
    const Time bound = leave.acknowledgedAt + aBounds.drain;
    for (const ArrivalRecord& arrival : aHistory.Arrivals()) {
      if (arrival.engine != leave.engine || arrival.at <= bound || arrival.isMisdirected) {
        continue;
      }
      const CallRecord* call = aHistory.FindCall(arrival.callId);
      if (call != nullptr &&
          aHistory.IsCalm(call->daemon, leave.acknowledgedAt - aBounds.contact, arrival.at)) {
        Add(aFindings, "drain",
            "call " + arrival.callId + " reached the leaving engine " + arrival.engine + " " +
              InSeconds(arrival.at - leave.acknowledgedAt) + " after its notice, by daemon " +
              std::to_string(call->daemon));
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
      const bool isCut = call.daemon == stop.daemon && call.ending == Ending::Cut &&
                         call.endedAt >= stop.at && call.endedAt <= until;
      if (!isCut || !aHistory.IsQuiet(call.sentAt - aBounds.contact, call.endedAt)) {
        continue;
      }
      if (arrived.contains(call.id) || call.endedAt - call.sentAt > aBounds.lossSlack) {
        Add(aFindings, "planned-stop",
            "call " + call.id + " was cut " + InSeconds(call.endedAt - stop.at) + " after daemon " +
              std::to_string(stop.daemon) + " was asked to stop");
      }
    }
  }
}

void CheckTimeouts(const History& aHistory, const Bounds& aBounds, Findings& aFindings)
{
  std::size_t count = 0;
  std::string example;
  for (const CallRecord& call : aHistory.Calls()) {
    const bool isLate =
      call.ending == Ending::TimedOut ||
      (call.ending == Ending::Answered && call.endedAt > call.sentAt + call.timeout + kLate);
    if (isLate && aHistory.IsCalm(call.daemon, call.sentAt - aBounds.contact, call.endedAt)) {
      ++count;
      example = call.id;
    }
  }
  if (count > kFew) {
    Add(aFindings, "timeout",
        std::to_string(count) + " calls had no answer in time, such as " + example);
  }
}

void CheckDepartures(const History& aHistory, const Bounds& aBounds, Findings& aFindings)
{
  std::size_t count = 0;
  std::string example;
  for (const ArrivalRecord& arrival : aHistory.Arrivals()) {
    const CallRecord* call = aHistory.FindCall(arrival.callId);
    const bool isLate =
      call != nullptr && call->ending == Ending::Left && arrival.at > call->endedAt + kLate;
    if (isLate && aHistory.IsQuiet(call->sentAt - aBounds.contact, arrival.at)) {
      ++count;
      example = arrival.callId;
    }
  }
  if (count > kFew) {
    Add(aFindings, "caller-left",
        std::to_string(count) + " messages were sent for callers that had left, such as " +
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
        Add(aFindings, "one-holder", "engine " + engine + " took an order of an older holder");
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
            last->holder + " and " + order->holder + " gave orders to " + engine + " within " +
              InSeconds(order->at - last->at));
      }
      last = order->isAccepted ? order : last;
    }
  }
}

namespace {

bool IsAlwaysRouted(const History& aHistory, const std::string& aPrefix)
{
  return std::all_of(
    aHistory.Configurations().begin(), aHistory.Configurations().end(),
    [&](const ConfigurationRecord& aRecord) { return aRecord.services.contains(aPrefix); });
}

} // namespace

void CheckRecovery(const History& aHistory, Time aCalmSince, Findings& aFindings)
{
  std::size_t owed = 0;
  std::size_t served = 0;
  std::map<std::string, std::size_t> others;
  for (const CallRecord& call : aHistory.Calls()) {
    const bool isOwed = call.ending != Ending::Left && call.ending != Ending::Waiting &&
                        IsAlwaysRouted(aHistory, call.prefix);
    if (call.sentAt < aCalmSince || !isOwed) {
      continue;
    }
    const bool isServed = call.ending == Ending::Answered && IsSuccess(call.status);
    owed += 1;
    served += isServed ? 1 : 0;
    if (!isServed) {
      const std::string ending = call.ending == Ending::Answered
                                   ? "status " + std::to_string(call.status)
                                   : "ending " + std::to_string(static_cast<int>(call.ending));
      ++others[ending];
    }
  }
  if (owed >= kTooFewToJudge &&
      static_cast<double>(served) >= kServedWhenCalm * static_cast<double>(owed)) {
    return;
  }
  std::string text = std::to_string(served) + " of " + std::to_string(owed) +
                     " calls were served after the last fault";
  for (const auto& [ending, count] : others) {
    text += ", " + std::to_string(count) + " " + ending;
  }
  Add(aFindings, "recovery", text);
}

Summary Summarize(const History& aHistory)
{
  Summary summary;
  summary.calls = aHistory.Calls().size();
  summary.runs = aHistory.Runs().size();
  summary.orders = aHistory.Orders().size();
  for (const CallRecord& call : aHistory.Calls()) {
    summary.served += call.ending == Ending::Answered && IsSuccess(call.status) ? 1 : 0;
  }
  return summary;
}

Findings CheckAll(const History& aHistory, const Bounds& aBounds, Time aCalmSince)
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
  CheckConfiguration(aHistory, aBounds, findings);
  CheckDrain(aHistory, aBounds, findings);
  CheckPlannedStops(aHistory, aBounds, findings);
  CheckTimeouts(aHistory, aBounds, findings);
  CheckDepartures(aHistory, aBounds, findings);
  CheckOrders(aHistory, aBounds, findings);
  CheckRecovery(aHistory, aCalmSince, findings);
  return findings;
}

} // namespace masticstep::soak
