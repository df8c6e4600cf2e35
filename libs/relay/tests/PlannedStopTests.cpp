// Requests at a daemon that stops as planned: each is answered, or refused without having run.
#include "DaemonFixture.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/testing/Test.hpp"

#include <algorithm>
#include <deque>
#include <future>

using namespace masticstep;
using namespace masticstep::relay;

namespace {

using dispatch::CallKind;
using dispatch::Stage;
using Then = ScriptedResponse::Then;

constexpr Duration kWork = Milliseconds(1200);
constexpr Duration kStep = Milliseconds(500);
constexpr Duration kEndless = Seconds(60);
// For threads and timers on a busy machine.
constexpr Duration kTolerance = Milliseconds(400);

const std::string kNotExecutedResponse =
  "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

dispatch::Route MakeRoute(const std::string& aPrefix, CallKind aKind, const std::string& aService)
{
  dispatch::Route route;
  route.name = aPrefix;
  route.host = "a.example";
  route.pathPrefix = aPrefix;
  route.kind = aKind;
  route.timeout = Seconds(60);
  route.target = Seconds(15);
  route.attempts = aKind == CallKind::Idempotent ? 2 : 1;
  route.shares = { { ServiceName{ aService }, 1 } };
  return route;
}

std::vector<dispatch::Route> Routes()
{
  std::vector<dispatch::Route> routes{ MakeRoute("/once/", CallKind::NonIdempotent, "plain"),
                                       MakeRoute("/again/", CallKind::Idempotent, "plain"),
                                       MakeRoute("/brief/", CallKind::NonIdempotent, "plain"),
                                       MakeRoute("/stream/", CallKind::Stream, "llm") };
  routes[2].timeout = Seconds(2);
  return routes;
}

bool Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

std::string IdOf(const std::string& aRequest)
{
  const std::size_t begin = aRequest.find("Id: ") + 4;
  return aRequest.substr(begin, aRequest.find('\r', begin) - begin);
}

std::string StreamHeadFor(const std::string& aId)
{
  return "HTTP/1.1 200 OK\r\nId: " + aId + "\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n";
}

ScriptedResponse AnswerAfterWork(const std::string& aRequest)
{
  return { .text = {},
           .silence = kWork,
           .afterSilence = SignedResponse(200, "done", IdOf(aRequest)) };
}

ScriptedResponse StreamAfterWork(const std::string& aRequest)
{
  return { .text = StreamHeadFor(IdOf(aRequest)) + Events(1, 1),
           .silence = kWork,
           .afterSilence = Events(2, 3) + StreamEnd() };
}

ScriptedResponse NeverAnswer(const std::string& /*aRequest*/)
{
  return { .text = {}, .silence = kEndless };
}

enum class CallOutcome
{
  Answered,
  Refused, // 503
  Ended,   // 502 or 504
  Opened,  // the stream has no end
  Cut      // anything else
};

CallOutcome OutcomeOf(const std::string& aAnswer)
{
  if (aAnswer.starts_with("HTTP/1.1 200")) {
    const bool isWhole = aAnswer.ends_with("done") || aAnswer.ends_with("\r\n0\r\n\r\n");
    return isWhole ? CallOutcome::Answered : CallOutcome::Opened;
  }
  const bool closes = Contains(aAnswer, "Connection: close") && aAnswer.ends_with("}");
  if (aAnswer.starts_with("HTTP/1.1 503") && closes && Contains(aAnswer, "Retry-After: ")) {
    return CallOutcome::Refused;
  }
  const bool isEnded = aAnswer.starts_with("HTTP/1.1 502") || aAnswer.starts_with("HTTP/1.1 504");
  return isEnded && closes ? CallOutcome::Ended : CallOutcome::Cut;
}

// Caller whose upload of two bytes ends at a given time.
class Uploader
{
public:
  // Begins the upload. Without aEnd, it never ends.
  Uploader(const DaemonFixture& aDaemon, std::string aId, const std::string& aPath,
           std::optional<Time> aEnd)
    : mId(std::move(aId))
    , mEnd(aEnd)
    , mClient(aDaemon.CallerAddress())
  {
    mClient.Send("POST " + aPath + " HTTP/1.1\r\nHost: a.example\r\nId: " + mId +
                 "\r\nContent-Length: 2\r\n\r\nh");
    mAnswer = std::async(std::launch::async, [this] { return Finish(); });
  }

  // Waits for the answer.
  const std::string& Answer()
  {
    mAnswer.wait();
    return mText;
  }
  CallOutcome GetOutcome() { return OutcomeOf(Answer()); }
  const std::string& Id() const { return mId; }
  std::optional<Time> UploadEnd() const { return mEnd; }
  Time AnsweredAt() const { return mAnsweredAt; }

private:
  void Finish()
  {
    if (mEnd) {
      std::this_thread::sleep_for(*mEnd - net::Now());
      mClient.Send("i");
    }
    mText = mClient.ReadUntilClosed();
    mAnsweredAt = net::Now();
  }

  const std::string mId;
  const std::optional<Time> mEnd;
  net::RawClient mClient;
  std::string mText;
  Time mAnsweredAt;
  std::future<void> mAnswer;
};

std::size_t Count(std::deque<Uploader>& aCallers, CallOutcome aOutcome)
{
  return static_cast<std::size_t>(
    std::count_if(aCallers.begin(), aCallers.end(),
                  [aOutcome](Uploader& aCaller) { return aCaller.GetOutcome() == aOutcome; }));
}

// Returns the number of callers that were refused although a backend server got the request.
std::size_t RefusedButRun(std::deque<Uploader>& aCallers, const ScriptedBackend& aBackend)
{
  std::vector<std::string> ids;
  for (const std::string& request : aBackend.Requests()) {
    ids.push_back(IdOf(request));
  }
  return static_cast<std::size_t>(
    std::count_if(aCallers.begin(), aCallers.end(), [&ids](Uploader& aCaller) {
      return aCaller.GetOutcome() == CallOutcome::Refused &&
             std::find(ids.begin(), ids.end(), aCaller.Id()) != ids.end();
    }));
}

// A daemon whose callers end their uploads at every half second of the grace.
struct StoppedDaemon
{
  explicit StoppedDaemon(Duration aGrace)
    : grace(aGrace)
    , plain(AnswerAfterWork)
    , engine(StreamAfterWork)
    , daemon(grace, Routes(),
             { MakeBackend("b1", "plain", plain), MakeBackend("e1", "llm", engine) })
  {
  }

  void StartUploads(Time aStop)
  {
    for (Duration end = kStep; end < grace; end += kStep) {
      for (const char* path : { "/once/", "/again/", "/stream/" }) {
        callers.emplace_back(daemon, "c" + std::to_string(callers.size()), path, aStop + end);
      }
    }
  }

  const Duration grace;
  ScriptedBackend plain;
  ScriptedBackend engine;
  DaemonFixture daemon;
  std::deque<Uploader> callers;
};

} // namespace

// Guards against requests that a stopping daemon passes on although it will exit before they are
// answered, and against a refusal of a request that may have run.
MASTICSTEP_TEST("uploads that end during a planned stop are answered or refused",
                "[relay][daemon][drain]")
{
  std::deque<StoppedDaemon> all;
  for (const Duration grace : { Seconds(2), Seconds(8), Seconds(20) }) {
    all.emplace_back(grace);
  }
  const Time stop = net::Now() + Milliseconds(300);
  for (StoppedDaemon& stopped : all) {
    stopped.StartUploads(stop);
  }
  std::this_thread::sleep_for(stop - net::Now());
  DaemonFixture::StopAll();
  for (StoppedDaemon& stopped : all) {
    stopped.daemon.WaitForEnd();
    CHECK_TRUE(net::Now() < stop + stopped.grace);
    CHECK_EQUAL(std::size_t{ 0 }, Count(stopped.callers, CallOutcome::Cut));
    CHECK_EQUAL(std::size_t{ 0 }, RefusedButRun(stopped.callers, stopped.plain));
    CHECK_EQUAL(std::size_t{ 0 }, RefusedButRun(stopped.callers, stopped.engine));
    const Time admissionEnd = stop + std::min(Milliseconds(2500), stopped.grace / 2);
    for (Uploader& caller : stopped.callers) {
      const Time end = *caller.UploadEnd();
      if (end < admissionEnd && end + kWork + kTolerance < stop + stopped.grace * 5 / 6) {
        CHECK_TRUE(caller.GetOutcome() == CallOutcome::Answered);
      }
      if (end > admissionEnd + kTolerance) {
        CHECK_TRUE(caller.GetOutcome() == CallOutcome::Refused);
        CHECK_TRUE(caller.AnsweredAt() < end + kTolerance);
      }
    }
  }
}

// Guards against a refusal of requests that end before the daemon exits whatever happens.
MASTICSTEP_TEST("a request whose deadline is before the end of the grace is still passed on",
                "[relay][daemon][drain]")
{
  StoppedDaemon stopped(Seconds(8));
  const Time stop = net::Now();
  DaemonFixture::StopAll();
  Uploader early(stopped.daemon, "early", "/brief/", stop + Milliseconds(3500));
  Uploader late(stopped.daemon, "late", "/brief/", stop + Milliseconds(5800));
  CHECK_TRUE(early.GetOutcome() == CallOutcome::Answered);
  CHECK_TRUE(late.GetOutcome() == CallOutcome::Refused);
}

// Guards against prompts that wait in the queue of a stopping daemon, are passed on late and cut.
MASTICSTEP_TEST("waiting prompts are refused when a stopping daemon closes its listener",
                "[relay][daemon][drain][prompt]")
{
  constexpr std::size_t kPrompts = 12;
  ScriptedBackend engine(NeverAnswer);
  DaemonFixture daemon(Seconds(8), Routes(), { MakeBackend("r1", "llm", engine, Stage::Prefill) });
  const Time stop = net::Now() + Milliseconds(300);
  std::deque<Uploader> callers;
  for (std::size_t i = 0; i < kPrompts; ++i) {
    callers.emplace_back(daemon, "c" + std::to_string(i), "/stream/", net::Now());
  }
  std::this_thread::sleep_for(stop - net::Now());
  DaemonFixture::StopAll();
  CHECK_EQUAL(kPrompts, Count(callers, CallOutcome::Refused));
  const std::size_t passedOn = engine.Requests().size();
  CHECK_TRUE(passedOn > 0 && passedOn < kPrompts);
  const Time listenerClosed = stop + Milliseconds(2500);
  const std::int64_t refusedEarly =
    std::count_if(callers.begin(), callers.end(), [listenerClosed](const Uploader& aCaller) {
      return aCaller.AnsweredAt() > listenerClosed - kTolerance &&
             aCaller.AnsweredAt() < listenerClosed + kTolerance;
    });
  CHECK_EQUAL(kPrompts - passedOn, static_cast<std::size_t>(refusedEarly));
}

// Guards against a request that a backend server refused and that is passed on for the first time
// when too little time is left.
MASTICSTEP_TEST("a request refused by a backend server is not passed on late in a planned stop",
                "[relay][daemon][drain]")
{
  const ScriptedBackend::Script refuse = [](const std::string&) {
    return ScriptedResponse{ .text = {},
                             .silence = Seconds(3),
                             .afterSilence = kNotExecutedResponse };
  };
  ScriptedBackend first(refuse);
  ScriptedBackend second(refuse);
  DaemonFixture daemon(Seconds(8), Routes(),
                       { MakeBackend("b1", "plain", first), MakeBackend("b2", "plain", second) });
  const Time stop = net::Now();
  DaemonFixture::StopAll();
  Uploader caller(daemon, "c1", "/once/", stop);
  CHECK_TRUE(caller.GetOutcome() == CallOutcome::Refused);
  CPPUNIT_ASSERT_MESSAGE(caller.Answer(), Contains(caller.Answer(), R"("reason":"stopping")"));
  CHECK_TRUE(caller.AnsweredAt() < stop + Seconds(3) + kTolerance);
  CHECK_EQUAL(std::size_t{ 1 }, first.Requests().size() + second.Requests().size());
}

// Guards against requests that a stopping daemon cuts without an answer when its grace ends, and
// against an answer that promises what it can't know.
MASTICSTEP_TEST("requests that run at the end of the grace get a final answer",
                "[relay][daemon][drain]")
{
  ScriptedBackend plain(NeverAnswer);
  ScriptedBackend engine([](const std::string& aRequest) {
    const bool hasEvents = IdOf(aRequest) == "begun";
    return ScriptedResponse{ .text = hasEvents ? StreamHeadFor("begun") + Events(1, 1) : "",
                             .silence = kEndless };
  });
  DaemonFixture daemon(Seconds(2), Routes(),
                       { MakeBackend("b1", "plain", plain), MakeBackend("e1", "llm", engine) });
  const Time stop = net::Now() + Milliseconds(300);
  Uploader once(daemon, "once", "/once/", net::Now());
  Uploader again(daemon, "again", "/again/", net::Now());
  Uploader silent(daemon, "silent", "/stream/", net::Now());
  Uploader begun(daemon, "begun", "/stream/", net::Now());
  std::this_thread::sleep_for(stop - net::Now());
  DaemonFixture::StopAll();
  for (Uploader* caller : { &once, &again, &silent }) {
    CHECK_TRUE(caller->GetOutcome() == CallOutcome::Ended);
  }
  CHECK_TRUE(begun.GetOutcome() == CallOutcome::Opened);
  CHECK_TRUE(Contains(begun.Answer(), "data: t1"));
  daemon.WaitForEnd();
  CHECK_TRUE(net::Now() < stop + Seconds(2));
}

// Guards against uploads that are cut without an answer when the daemon exits.
MASTICSTEP_TEST("uploads that have no end are refused before a stopping daemon exits",
                "[relay][daemon][drain]")
{
  StoppedDaemon stopped(Seconds(2));
  const Time stop = net::Now() + Milliseconds(300);
  Uploader caller(stopped.daemon, "c1", "/once/", std::nullopt);
  std::this_thread::sleep_for(stop - net::Now());
  DaemonFixture::StopAll();
  CHECK_TRUE(caller.GetOutcome() == CallOutcome::Refused);
  CHECK_TRUE(stopped.plain.Requests().empty());
  stopped.daemon.WaitForEnd();
  CHECK_TRUE(net::Now() < stop + Seconds(2));
}

// Guards against a stop that takes the whole grace although nothing is left to do.
MASTICSTEP_TEST("a daemon without requests exits when its listener is closed",
                "[relay][daemon][drain]")
{
  StoppedDaemon stopped(Seconds(20));
  const Time stop = net::Now();
  DaemonFixture::StopAll();
  stopped.daemon.WaitForEnd();
  CHECK_TRUE(net::Now() < stop + Milliseconds(2500) + kTolerance);
}
