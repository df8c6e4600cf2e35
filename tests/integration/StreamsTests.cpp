// Completions through real processes while daemons, engines and connections fail.
#include "common/GeneratedText.hpp"
#include "support/CallerLoad.hpp"

#include "masticstep/testing/Test.hpp"

#include <csignal>

using namespace masticstep;
using namespace masticstep::integration;
using standins::CompletionCall;
using standins::CompletionResult;

namespace {

// Long enough to be running while a test breaks something: about 12 ms for each token.
constexpr std::uint32_t kLongAnswer = 400;
constexpr Duration kLimit = Seconds(60);

// True if the text is a beginning of the right answer, so that nothing wrong was sent.
bool IsBeginningOfAnswer(const CompletionResult& aResult, const CompletionCall& aCall)
{
  return !aResult.hasGap && aResult.text == standins::GeneratedText(aCall.prompt, aResult.tokens);
}

void CheckServes(Fleet& aFleet, std::size_t aDaemon, std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    const CompletionCall call = aFleet.Completion(aDaemon, "after " + std::to_string(i), 10);
    const CompletionResult result = standins::StreamCompletionBlocking(call);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(result.status) + " " + result.error,
                           result.IsWholeAnswerTo(call));
  }
}

} // namespace

// Guards against answers that are cut, mixed up or differ between streamed and whole sending.
MASTICSTEP_TEST("every daemon sends whole answers", "[integration][stream]")
{
  FleetShape shape;
  shape.dataCentres = 2;
  Fleet fleet(shape);
  for (std::size_t i = 0; i < fleet.DaemonCount(); ++i) {
    CheckServes(fleet, i, 3);
    const CompletionCall call = fleet.Completion(i, "whole " + std::to_string(i), 20);
    standins::HttpCall whole;
    whole.server = call.server;
    whole.method = "POST";
    whole.target = "/v1/completions";
    whole.headers = { { "Authorization", "Bearer " + call.key } };
    whole.body = boost::json::serialize(boost::json::value{
      { "model", call.model }, { "prompt", call.prompt }, { "max_tokens", call.maxTokens } });
    const standins::HttpReply reply = standins::FetchBlocking(whole);
    CHECK_EQUAL(200U, reply.status);
    CHECK_TRUE(reply.body.find(standins::GeneratedText(call.prompt, 20)) != std::string::npos);
  }
}

// Guards against crossed answers when many callers stream at once.
MASTICSTEP_TEST("callers at the same time get their own answers", "[integration][stream]")
{
  Fleet fleet({});
  CallerLoad load(fleet, 24, 40);
  CHECK_TRUE(load.WaitForMore(200));
  load.Stop();
  CHECK_EQUAL(std::string(), load.Failures());
}

// Guards against a daemon's death that harms streams of other daemons, or looks like a whole
// answer.
MASTICSTEP_TEST("a killed daemon takes only its own streams along", "[integration][stream]")
{
  Fleet fleet({});
  BackgroundStream lost(fleet.Completion(0, "lost", kLongAnswer));
  BackgroundStream kept(fleet.Completion(1, "kept", kLongAnswer));
  CHECK_TRUE(lost.WaitForTokens(10));
  CHECK_TRUE(kept.WaitForTokens(10));
  fleet.Daemon(0).Child().Signal(SIGKILL);
  CHECK_TRUE(fleet.Daemon(0).Child().WaitForEnd(kLimit).has_value());
  CHECK_TRUE(kept.Result().IsWholeAnswerTo(kept.Call()));
  CHECK_FALSE(lost.Result().isComplete);
  CHECK_TRUE(IsBeginningOfAnswer(lost.Result(), lost.Call()));
  CheckServes(fleet, 1, 5);
}

// Guards against requests that hang, get wrong text or are refused when an engine dies.
MASTICSTEP_TEST("a killed engine ends its streams and gets no more", "[integration][stream]")
{
  Fleet fleet({});
  std::vector<std::unique_ptr<BackgroundStream>> streams;
  for (std::size_t i = 0; i < 8; ++i) {
    streams.push_back(std::make_unique<BackgroundStream>(
      fleet.Completion(i % 2, "stream " + std::to_string(i), kLongAnswer)));
  }
  for (const std::unique_ptr<BackgroundStream>& stream : streams) {
    CHECK_TRUE(stream->WaitForTokens(5));
  }
  CHECK_TRUE(fleet.Engine(0).Counter("requests") > 0);
  CHECK_TRUE(fleet.Engine(1).Counter("requests") > 0);
  fleet.Engine(0).Child().Signal(SIGKILL);
  CheckServes(fleet, 0, 10);
  CheckServes(fleet, 1, 10);
  std::size_t whole = 0;
  for (const std::unique_ptr<BackgroundStream>& stream : streams) {
    const CompletionResult& result = stream->Result();
    whole += result.IsWholeAnswerTo(stream->Call()) ? 1 : 0;
    // A stream that has not ended whole ends with an error event, on an orderly connection.
    CHECK_TRUE(result.isComplete || result.error.find("\"error\"") != std::string::npos);
    CHECK_TRUE(IsBeginningOfAnswer(result, stream->Call()));
  }
  CHECK_TRUE(whole > 0);
}

// Guards against a daemon that waits for ever on a silent engine, or repeats tokens on resuming.
MASTICSTEP_TEST("a stream goes on after its engine was silent", "[integration][stream]")
{
  FleetShape shape;
  shape.engines = 1;
  shape.hasProxies = true;
  Fleet fleet(shape);
  BackgroundStream stream(fleet.Completion(0, "silence", kLongAnswer));
  CHECK_TRUE(stream.WaitForTokens(10));
  fleet.Proxy(0).SetFaults(boost::json::object{ { "silence", "to_client" } });
  CHECK_TRUE(WaitUntil(kLimit, [&fleet] { return fleet.Engine(0).Counter("resumed") > 0; }));
  fleet.Proxy(0).SetFaults(boost::json::object{ { "silence", "none" } });
  const CompletionResult& result = stream.Result();
  CPPUNIT_ASSERT_MESSAGE(std::to_string(result.tokens) + " tokens, " + result.error,
                         result.IsWholeAnswerTo(stream.Call()));
}

// Guards against a daemon that trusts open connections because new ones work.
MASTICSTEP_TEST("a stream goes on over a new connection", "[integration][stream]")
{
  FleetShape shape;
  shape.engines = 1;
  shape.hasProxies = true;
  Fleet fleet(shape);
  BackgroundStream stream(fleet.Completion(0, "black hole", kLongAnswer));
  CHECK_TRUE(stream.WaitForTokens(10));
  fleet.Proxy(0).SetFaults(boost::json::object{ { "black_hole_open", true } });
  const CompletionResult& result = stream.Result();
  CPPUNIT_ASSERT_MESSAGE(std::to_string(result.tokens) + " tokens, " + result.error,
                         result.IsWholeAnswerTo(stream.Call()));
  CHECK_TRUE(fleet.Engine(0).Counter("resumed") > 0);
  CHECK_TRUE(fleet.Proxy(0).Counter("black_holed") > 0);
  CheckServes(fleet, 0, 5);
  CheckServes(fleet, 1, 5);
}

// Guards against lost connections that callers notice under load.
MASTICSTEP_TEST("lost connections to an engine cost no request under load", "[integration][stream]")
{
  FleetShape shape;
  shape.hasProxies = true;
  Fleet fleet(shape);
  CallerLoad load(fleet, 8, 40);
  CHECK_TRUE(load.WaitForMore(20));
  for (std::size_t round = 0; round < 2; ++round) {
    fleet.Proxy(round).SetFaults(boost::json::object{ { "black_hole_open", true } });
    load.WaitForMore(40);
    CHECK_EQUAL(std::string(), load.Failures());
  }
  load.Stop();
  CHECK_EQUAL(std::string(), load.Failures());
  CHECK_TRUE(fleet.Engine(0).Counter("resumed") + fleet.Engine(1).Counter("resumed") > 0);
}

// Guards against requests that are lost to an engine which takes connections and never answers.
MASTICSTEP_TEST("requests go on while an engine is paused", "[integration][stream][pause]")
{
  Fleet fleet({});
  CheckServes(fleet, 0, 4);
  fleet.Engine(0).Child().Signal(SIGSTOP);
  CheckServes(fleet, 0, 10);
  CheckServes(fleet, 1, 10);
  fleet.Engine(0).Child().Signal(SIGCONT);
  const std::uint64_t before = fleet.Engine(0).Counter("requests");
  const bool isUsedAgain = WaitUntil(kLimit, [&fleet, before] {
    CheckServes(fleet, 0, 4);
    return fleet.Engine(0).Counter("requests") > before;
  });
  CHECK_TRUE(isUsedAgain);
}
