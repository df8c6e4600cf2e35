// Each check must report the violation that it is meant to detect, and nothing without it.
#include "Checks.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::soak;

namespace {

const Bounds kBounds;
constexpr Time kStart{ Seconds(100) };

CallRecord Call(const std::string& aId, CallKind aKind)
{
  CallRecord call;
  call.id = aId;
  call.kind = aKind;
  call.prefix = "/p/";
  call.sentAt = kStart;
  call.endedAt = kStart + Milliseconds(100);
  call.outcome = CallOutcome::Answered;
  call.status = 200;
  call.stamp = "e-1." + aId;
  call.body = "body";
  call.timeout = Seconds(1);
  return call;
}

RunRecord Run(const std::string& aId, const std::string& aEngine)
{
  RunRecord run;
  run.callId = aId;
  run.engine = aEngine;
  run.service = "s";
  run.status = 200;
  run.stamp = aEngine + "." + aId;
  run.body = "body";
  return run;
}

ArrivalRecord Arrival(const std::string& aId, const std::string& aEngine, Time aAt)
{
  ArrivalRecord arrival;
  arrival.callId = aId;
  arrival.engine = aEngine;
  arrival.service = "s";
  arrival.at = aAt;
  arrival.isAsSent = true;
  return arrival;
}

ConfigurationRecord Configuration(std::uint64_t aVersion, Time aAt, const std::string& aService)
{
  return { aVersion, aAt, aAt, { { "/p/", aService } } };
}

// A history with one correctly served call.
History ServedOnce()
{
  History history;
  history.AddConfiguration(Configuration(1, Time{}, "s"));
  history.AddCall(Call("a", CallKind::Order));
  history.AddArrival(Arrival("a", "e-1", kStart + Milliseconds(10)));
  history.AddRun(Run("a", "e-1"));
  return history;
}

CallRecord Stream(const std::string& aBody, std::uint32_t aEvents)
{
  CallRecord call = Call("a", CallKind::Draft);
  call.body = aBody;
  call.events = aEvents;
  return call;
}

using Check = std::function<void(const History&, Findings&)>;

std::size_t Count(const History& aHistory, const Check& aCheck)
{
  Findings findings;
  aCheck(aHistory, findings);
  return findings.size();
}

Check WithBounds(void (*aCheck)(const History&, const Bounds&, Findings&))
{
  return [aCheck](const History& aHistory, Findings& aFindings) {
    aCheck(aHistory, kBounds, aFindings);
  };
}

} // namespace

MASTICSTEP_TEST("a call that is served once violates no guarantee", "[soak][checks]")
{
  const History history = ServedOnce();
  // One call is too few for CheckRecovery to pass.
  const Findings findings = CheckAll(history, kBounds, { Time::max(), Time::max() });
  CHECK_EQUAL(std::size_t{ 1 }, findings.size());
  CHECK_EQUAL(std::string("recovery"), findings[0].rule);
}

MASTICSTEP_TEST("a second run is found only for calls that may not be repeated", "[soak][checks]")
{
  History history = ServedOnce();
  history.AddRun(Run("a", "e-2"));
  CHECK_EQUAL(std::size_t{ 1 }, Count(history, CheckRunsOnce));
  History other;
  other.AddCall(Call("a", CallKind::Lookup));
  other.AddRun(Run("a", "e-1"));
  other.AddRun(Run("a", "e-2"));
  CHECK_EQUAL(std::size_t{ 0 }, Count(other, CheckRunsOnce));
}

MASTICSTEP_TEST("a refusal of a call that ran is found", "[soak][checks]")
{
  History history = ServedOnce();
  history.Call(0).status = 503;
  CHECK_EQUAL(std::size_t{ 1 }, Count(history, CheckRefusals));
  history.Call(0).status = 502;
  CHECK_EQUAL(std::size_t{ 0 }, Count(history, CheckRefusals));
}

MASTICSTEP_TEST("answers that are not the engine's are found", "[soak][checks]")
{
  CHECK_EQUAL(std::size_t{ 0 }, Count(ServedOnce(), CheckAnswers));
  const std::vector<std::function<void(CallRecord&)>> faults = {
    [](CallRecord& aCall) { aCall.stamp.clear(); },
    [](CallRecord& aCall) { aCall.stamp = "e-1.b"; },
    [](CallRecord& aCall) { aCall.body = "bod"; },
    [](CallRecord& aCall) { aCall.status = 500; },
    [](CallRecord& aCall) { aCall.hasExtraBytes = true; },
  };
  for (const std::function<void(CallRecord&)>& fault : faults) {
    History history = ServedOnce();
    fault(history.Call(0));
    CHECK_EQUAL(std::size_t{ 1 }, Count(history, CheckAnswers));
  }
}

MASTICSTEP_TEST("events that are missing, repeated or of another call are found", "[soak][checks]")
{
  const std::string first = "id: 1\ndata: a/1\n\n";
  const std::string second = "id: 2\ndata: a/2\n\n";
  const auto count = [](CallRecord aCall) {
    History history;
    history.AddCall(std::move(aCall));
    return Count(history, CheckStreams);
  };
  CHECK_EQUAL(std::size_t{ 0 }, count(Stream(first + second, 2)));
  CHECK_EQUAL(std::size_t{ 1 }, count(Stream(second, 2)));
  CHECK_EQUAL(std::size_t{ 1 }, count(Stream(first + first, 2)));
  CHECK_EQUAL(std::size_t{ 1 }, count(Stream("id: 1\ndata: b/1\n\n", 1)));
  CHECK_EQUAL(std::size_t{ 1 }, count(Stream(first, 2)));
  CallRecord cut = Stream(first + "id: 2\nda", 2);
  cut.outcome = CallOutcome::Cut;
  CHECK_EQUAL(std::size_t{ 0 }, count(cut));
}

MASTICSTEP_TEST("messages that no caller sent and prompts of other calls are found",
                "[soak][checks]")
{
  History history = ServedOnce();
  CHECK_EQUAL(std::size_t{ 0 }, Count(history, CheckMessages));
  history.Arrival(0).isAsSent = false;
  history.Run(0).usesOtherCallsPrompt = true;
  CHECK_EQUAL(std::size_t{ 2 }, Count(history, CheckMessages));
}

MASTICSTEP_TEST("runs on more servers than the route allows are found", "[soak][checks]")
{
  History history;
  for (const char* engine : { "e-1", "e-2", "e-3", "e-4" }) {
    history.AddRun(Run("a", engine));
  }
  CHECK_EQUAL(std::size_t{ 1 }, Count(history, WithBounds(CheckAttempts)));
  history.Run(0).hasCrashed = true;
  CHECK_EQUAL(std::size_t{ 0 }, Count(history, WithBounds(CheckAttempts)));
}

MASTICSTEP_TEST("repeats beyond the retry budget are found", "[soak][checks]")
{
  History history = ServedOnce();
  const auto allowed = static_cast<std::size_t>(kBounds.retrySlack + kBounds.retryRatio);
  for (std::size_t i = 0; i < allowed; ++i) {
    history.AddArrival(Arrival("a", "e-1", kStart + Milliseconds(20)));
  }
  CHECK_EQUAL(std::size_t{ 0 }, Count(history, WithBounds(CheckRetryBudget)));
  history.AddArrival(Arrival("a", "e-1", kStart + Milliseconds(20)));
  CHECK_EQUAL(std::size_t{ 1 }, Count(history, WithBounds(CheckRetryBudget)));
}

MASTICSTEP_TEST("outdated configurations are found after the time limit for applying a new one",
                "[soak][checks]")
{
  History history = ServedOnce();
  history.AddConfiguration(Configuration(2, kStart - Seconds(2), "other"));
  CHECK_EQUAL(std::size_t{ 0 }, Count(history, WithBounds(CheckConfiguration)));
  History late = ServedOnce();
  late.AddConfiguration(Configuration(2, kStart - Seconds(3), "other"));
  CHECK_EQUAL(std::size_t{ 1 }, Count(late, WithBounds(CheckConfiguration)));
  late.Disturb(Scope::Store, 0, kStart - Seconds(1));
  CHECK_EQUAL(std::size_t{ 0 }, Count(late, WithBounds(CheckConfiguration)));
  History unknown = ServedOnce();
  unknown.Call(0).status = 404;
  CHECK_EQUAL(std::size_t{ 1 }, Count(unknown, WithBounds(CheckConfiguration)));
}

MASTICSTEP_TEST("requests to a draining engine are found", "[soak][checks]")
{
  History history = ServedOnce();
  history.AddDrain({ "e-1", kStart - Seconds(2) });
  CHECK_EQUAL(std::size_t{ 0 }, Count(history, WithBounds(CheckDrain)));
  history.AddDrain({ "e-1", kStart - Seconds(3) });
  CHECK_EQUAL(std::size_t{ 1 }, Count(history, WithBounds(CheckDrain)));
  history.Arrival(0).isMisdirected = true;
  CHECK_EQUAL(std::size_t{ 0 }, Count(history, WithBounds(CheckDrain)));
}

MASTICSTEP_TEST("calls that are cut by a planned stop are found", "[soak][checks]")
{
  History history = ServedOnce();
  history.AddStop({ 0, kStart, std::nullopt });
  history.Disturb(Scope::Stop, 0, kStart);
  CHECK_EQUAL(std::size_t{ 0 }, Count(history, WithBounds(CheckPlannedStops)));
  history.Call(0).outcome = CallOutcome::Cut;
  CHECK_EQUAL(std::size_t{ 1 }, Count(history, WithBounds(CheckPlannedStops)));
  // At the timeout of its route.
  history.Call(0).endedAt = kStart + history.Call(0).timeout;
  CHECK_EQUAL(std::size_t{ 0 }, Count(history, WithBounds(CheckPlannedStops)));
  history.Call(0).endedAt = kStart + history.Call(0).timeout - Milliseconds(300);
  CHECK_EQUAL(std::size_t{ 1 }, Count(history, WithBounds(CheckPlannedStops)));
  history.Disturb(Scope::Engine, 0, kStart);
  CHECK_EQUAL(std::size_t{ 0 }, Count(history, WithBounds(CheckPlannedStops)));
}

MASTICSTEP_TEST("calls that are not answered by their timeout are found", "[soak][checks]")
{
  History history;
  for (const char* id : { "a", "b", "c", "d" }) {
    CallRecord call = Call(id, CallKind::Lookup);
    call.endedAt = kStart + call.timeout + Milliseconds(600);
    history.AddCall(call);
  }
  CHECK_EQUAL(std::size_t{ 1 }, Count(history, WithBounds(CheckTimeouts)));
  history.Call(0).endedAt = kStart;
  CHECK_EQUAL(std::size_t{ 0 }, Count(history, WithBounds(CheckTimeouts)));
}

MASTICSTEP_TEST("requests for abandoned calls are found", "[soak][checks]")
{
  History history = ServedOnce();
  history.Call(0).outcome = CallOutcome::Abandoned;
  for (int i = 0; i < 4; ++i) {
    history.AddArrival(Arrival("a", "e-1", kStart + Milliseconds(700)));
  }
  CHECK_EQUAL(std::size_t{ 1 }, Count(history, WithBounds(CheckAbandonedCalls)));
  history.Disturb(Scope::Daemon, 0, kStart);
  CHECK_EQUAL(std::size_t{ 0 }, Count(history, WithBounds(CheckAbandonedCalls)));
}

MASTICSTEP_TEST("orders from more than one holder are found", "[soak][checks]")
{
  const auto count = [](std::vector<OrderRecord> aOrders) {
    History history;
    for (OrderRecord& order : aOrders) {
      history.AddOrder(std::move(order));
    }
    return Count(history, WithBounds(CheckOrders));
  };
  const Time later = kStart + kBounds.lease;
  CHECK_EQUAL(std::size_t{ 0 },
              count({ { "e", "x", 1, kStart, true }, { "e", "y", 2, later, true } }));
  CHECK_EQUAL(std::size_t{ 1 },
              count({ { "e", "x", 1, kStart, true }, { "e", "y", 1, later, true } }));
  CHECK_EQUAL(std::size_t{ 1 },
              count({ { "e", "x", 2, kStart, true }, { "e", "x", 1, later, true } }));
  CHECK_EQUAL(std::size_t{ 1 },
              count({ { "e", "x", 1, kStart, true }, { "e", "y", 2, kStart, true } }));
  CHECK_EQUAL(std::size_t{ 0 },
              count({ { "e", "x", 2, kStart, true }, { "e", "x", 1, later, false } }));
}

namespace {

// A call that ran and that its daemon broke off 100 ms after it was sent.
History BrokenOff()
{
  History history = ServedOnce();
  history.Call(0).outcome = CallOutcome::Cut;
  history.Call(0).status = 200;
  return history;
}

} // namespace

MASTICSTEP_TEST("an answer that a daemon breaks off early is found", "[soak][checks]")
{
  const Check check = WithBounds(CheckBrokenAnswers);
  CHECK_EQUAL(std::size_t{ 1 }, Count(BrokenOff(), check));
  History failed = ServedOnce();
  failed.Call(0).status = 502;
  failed.Call(0).stamp.clear();
  CHECK_EQUAL(std::size_t{ 1 }, Count(failed, check));
  CHECK_EQUAL(std::size_t{ 0 }, Count(ServedOnce(), check));
}

MASTICSTEP_TEST(
  "an answer that its engine, its deadline or a fault ends is not held against a daemon",
  "[soak][checks]")
{
  const Check check = WithBounds(CheckBrokenAnswers);
  History ofEngine = BrokenOff();
  ofEngine.Arrival(0).isBrokenOff = true;
  CHECK_EQUAL(std::size_t{ 0 }, Count(ofEngine, check));
  History late = BrokenOff();
  late.Call(0).endedAt = kStart + late.Call(0).timeout;
  CHECK_EQUAL(std::size_t{ 0 }, Count(late, check));
  History leaving = BrokenOff();
  leaving.Call(0).outcome = CallOutcome::Abandoned;
  CHECK_EQUAL(std::size_t{ 0 }, Count(leaving, check));
  History killed = BrokenOff();
  killed.Disturb(Scope::Daemon, 0, kStart);
  CHECK_EQUAL(std::size_t{ 0 }, Count(killed, check));
  History otherKilled = BrokenOff();
  otherKilled.Disturb(Scope::Daemon, 1, kStart);
  CHECK_EQUAL(std::size_t{ 1 }, Count(otherKilled, check));
}

MASTICSTEP_TEST("a stream that begins after the caller's last event is checked from there on",
                "[soak][checks]")
{
  CallRecord call = Stream("id: 2\ndata: a/2\n\nid: 3\ndata: a/3\n\n", 3);
  call.lastEventId = 1;
  History history;
  history.AddCall(call);
  CHECK_EQUAL(std::size_t{ 0 }, Count(history, CheckStreams));
  history.Call(0).lastEventId = 0;
  CHECK_EQUAL(std::size_t{ 1 }, Count(history, CheckStreams));
}

MASTICSTEP_TEST("a fleet that does not recover is found", "[soak][checks]")
{
  static constexpr Time kStop = kStart + Seconds(5);
  const auto check = [](const History& aHistory, Findings& aFindings) {
    CheckRecovery(aHistory, { kStart, kStop }, aFindings);
  };
  History history;
  history.AddConfiguration(Configuration(1, Time{}, "s"));
  for (int i = 0; i < 20; ++i) {
    history.AddCall(Call("a" + std::to_string(i), CallKind::Lookup));
  }
  CHECK_EQUAL(std::size_t{ 0 }, Count(history, check));
  history.Call(0).status = 503;
  history.Call(1).outcome = CallOutcome::Cut;
  CHECK_EQUAL(std::size_t{ 0 }, Count(history, check));
  // Daemons that have stopped serve nobody, and the proxies in front of them close each connection.
  for (int i = 20; i < 40; ++i) {
    CallRecord call = Call("a" + std::to_string(i), CallKind::Lookup);
    call.sentAt = kStop;
    call.outcome = CallOutcome::Cut;
    history.AddCall(call);
  }
  CHECK_EQUAL(std::size_t{ 0 }, Count(history, check));
  history.Call(2).status = 504;
  CHECK_EQUAL(std::size_t{ 1 }, Count(history, check));
}

namespace {

// A history in which calls of one kind crash an engine each second from kStart on, and aLate more
// reach engines 10 s later.
History Crashes(bool aIsRequest, std::size_t aCrashes, std::size_t aLate)
{
  History history;
  for (std::size_t i = 0; i < aCrashes + aLate; ++i) {
    const bool isLate = i >= aCrashes;
    const Time at = kStart + Seconds(static_cast<std::int64_t>(isLate ? aCrashes + 10 : i));
    CallRecord call = Call("c" + std::to_string(i), CallKind::Lookup);
    call.isCrashing = aIsRequest;
    call.crashesEngines = !aIsRequest;
    call.target = "/p/crash";
    call.sentAt = at;
    call.endedAt = at;
    history.AddCall(call);
    history.AddArrival(Arrival(call.id, "e", at));
    RunRecord run = Run(call.id, "e");
    run.endedAt = at;
    run.hasCrashed = !isLate;
    history.AddRun(run);
  }
  return history;
}

std::size_t CountWithBounds(const History& aHistory,
                            void (*aCheck)(const History&, const Bounds&, Findings&))
{
  return Count(aHistory, [aCheck](const History& aRecorded, Findings& aFindings) {
    aCheck(aRecorded, kBounds, aFindings);
  });
}

} // namespace

MASTICSTEP_TEST("a request that still reaches engines after crashes is found", "[soak][checks]")
{
  CHECK_EQUAL(std::size_t{ 1 }, CountWithBounds(Crashes(true, 3, 4), CheckCrashingRequests));
  CHECK_EQUAL(std::size_t{ 0 }, CountWithBounds(Crashes(true, 3, 3), CheckCrashingRequests));
  CHECK_EQUAL(std::size_t{ 0 }, CountWithBounds(Crashes(true, 2, 9), CheckCrashingRequests));
}

MASTICSTEP_TEST("a prompt part that still reaches engines after crashes is found", "[soak][checks]")
{
  CHECK_EQUAL(std::size_t{ 1 }, CountWithBounds(Crashes(false, 5, 4), CheckCrashingPrompts));
  CHECK_EQUAL(std::size_t{ 0 }, CountWithBounds(Crashes(false, 5, 3), CheckCrashingPrompts));
  CHECK_EQUAL(std::size_t{ 0 }, CountWithBounds(Crashes(false, 4, 9), CheckCrashingPrompts));
}
