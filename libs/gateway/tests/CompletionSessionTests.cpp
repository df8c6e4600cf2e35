#include "GatewayFixture.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::gateway;

namespace {

using Log = std::vector<std::string>;

const std::string kWholeText = "\"text\":\"t0 t1 t2 t3 \"";

net::Task<void> AnswerWhole(net::HttpRequest aRequest, net::HttpResponder& aResponder)
{
  std::string id = RequestIdOf(aRequest);
  co_await SendTokens(aResponder, std::move(id), 0, 4, true);
}

net::Task<void> AnswerStatus(net::HttpResponder& aResponder, unsigned aStatus, std::string aBody)
{
  net::HttpResponse response = net::JsonResponse(aStatus, std::move(aBody));
  co_await aResponder.Send(std::move(response));
}

unsigned OffsetOf(const net::HttpRequest& aRequest)
{
  return static_cast<unsigned>(std::stoul(aRequest.target.substr(aRequest.target.find('=') + 1)));
}

// Url of a port where nobody listens.
std::string ClosedUrl()
{
  const TestBackend closed(AnswerWhole);
  return closed.Url();
}

} // namespace

// Guards against answers that lose, repeat or reorder tokens.
MASTICSTEP_TEST("a completion is relayed whole or as a stream", "[gateway]")
{
  TestBackend engine(AnswerWhole);
  GatewayFixture fixture({ engine.Url() }, {});
  const net::HttpResponse whole = fixture.Complete(false);
  CHECK_EQUAL(200U, whole.status);
  CHECK_TRUE(Contains(whole.body, kWholeText));
  const net::HttpResponse stream = fixture.Complete(true);
  const std::string id(net::FindHeader(stream.headers, "X-Request-Id"));
  std::string expected;
  for (unsigned i = 0; i < 4; ++i) {
    expected += TokenText(id, i, i == 3);
  }
  CHECK_EQUAL(expected + "data: [DONE]\n\n", stream.body);
}

// Guards against a token that is lost or sent twice when a stream goes on over a new connection.
MASTICSTEP_TEST("a broken stream is resumed at its offset", "[gateway][resume]")
{
  TestBackend engine([](const net::HttpRequest& aRequest, net::HttpResponder& aResponder) {
    const bool isResume = aRequest.method == "GET";
    return SendTokens(aResponder, RequestIdOf(aRequest), isResume ? OffsetOf(aRequest) : 0,
                      isResume ? 4 : 2, isResume);
  });
  GatewayFixture fixture({ engine.Url() }, {});
  CHECK_TRUE(Contains(fixture.Complete(false).body, kWholeText));
  CHECK_TRUE((Log{ "POST /v1/completions", "GET /streams/ID?offset=2" }) == engine.Log());
}

// Guards against waiting for ever on an open connection that carries nothing more.
MASTICSTEP_TEST("a silent stream is resumed over a new connection", "[gateway][resume]")
{
  TestBackend engine(
    [](net::HttpRequest aRequest, net::HttpResponder& aResponder) -> net::Task<void> {
      std::string id = RequestIdOf(aRequest);
      if (aRequest.method == "GET") {
        co_await SendTokens(aResponder, std::move(id), OffsetOf(aRequest), 4, true);
        co_return;
      }
      co_await SendTokens(aResponder, std::move(id), 0, 1, false);
      while (!aResponder.IsGone()) {
        co_await net::Sleep(Milliseconds(10));
      }
    });
  GatewayFixture fixture({ engine.Url() }, {});
  CHECK_TRUE(Contains(fixture.Complete(false).body, kWholeText));
}

// Guards against giving a caller another request's answer.
MASTICSTEP_TEST("an answer with another request id is never relayed", "[gateway][crossed]")
{
  TestBackend engine([](const net::HttpRequest& aRequest, net::HttpResponder& aResponder) {
    const std::string own = RequestIdOf(aRequest);
    return SendTokens(aResponder, aRequest.method == "GET" ? own : "other", 0, 4, true);
  });
  GatewayFixture fixture({ engine.Url() }, {});
  CHECK_TRUE(Contains(fixture.Complete(false).body, kWholeText));
  CHECK_EQUAL(std::string("GET /streams/ID?offset=0"), engine.Log().at(1));
}

// Guards against gaps that look like a whole answer.
MASTICSTEP_TEST("a gap in the offsets is never relayed", "[gateway][crossed]")
{
  TestBackend engine(
    [](net::HttpRequest aRequest, net::HttpResponder& aResponder) -> net::Task<void> {
      const std::string id = RequestIdOf(aRequest);
      if (aRequest.method == "GET") {
        co_await SendTokens(aResponder, id, OffsetOf(aRequest), 4, true);
        co_return;
      }
      net::HttpResponseHead head;
      aResponder.StartStream(std::move(head));
      const std::string events = TokenText(id, 0, false) + TokenText(id, 2, false);
      co_await aResponder.WriteChunk(events);
    });
  GatewayFixture fixture({ engine.Url() }, {});
  CHECK_TRUE(Contains(fixture.Complete(false).body, kWholeText));
  CHECK_EQUAL(std::string("GET /streams/ID?offset=1"), engine.Log().at(1));
}

// Guards against a stream that stops without saying that it is not complete.
MASTICSTEP_TEST("a stream that cannot be resumed ends with an error event", "[gateway][not_run]")
{
  TestBackend engine([](const net::HttpRequest& aRequest, net::HttpResponder& aResponder) {
    return aRequest.method == "POST" ? SendTokens(aResponder, RequestIdOf(aRequest), 0, 2, false)
                                     : AnswerStatus(aResponder, 404, "{}");
  });
  GatewayFixture fixture({ engine.Url() }, {});
  const net::HttpResponse answer = fixture.Complete(true);
  CHECK_EQUAL(200U, answer.status);
  CHECK_TRUE(Contains(answer.body, "event: error\ndata: {"));
  CHECK_TRUE(Contains(answer.body, "\"run\":\"unknown\""));
  CHECK_FALSE(Contains(answer.body, "[DONE]"));
}

// Guards against an answer that is cut to what had arrived.
MASTICSTEP_TEST("a whole answer that breaks is refused as unknown", "[gateway][not_run]")
{
  TestBackend engine([](const net::HttpRequest& aRequest, net::HttpResponder& aResponder) {
    return aRequest.method == "POST" ? SendTokens(aResponder, RequestIdOf(aRequest), 0, 2, false)
                                     : AnswerStatus(aResponder, 404, "{}");
  });
  GatewayFixture fixture({ engine.Url() }, {});
  const net::HttpResponse answer = fixture.Complete(false);
  CHECK_EQUAL(503U, answer.status);
  CHECK_TRUE(Contains(answer.body, "\"run\":\"unknown\""));
}

// Guards against a refusal while another engine could answer.
MASTICSTEP_TEST("a request without a token goes to another engine", "[gateway][retry]")
{
  TestBackend engine(AnswerWhole);
  GatewayFixture fixture({ ClosedUrl(), ClosedUrl(), engine.Url() }, {});
  for (int i = 0; i < 5; ++i) {
    CHECK_TRUE(Contains(fixture.Complete(false).body, kWholeText));
  }
}

// Guards against "unknown" when it is certain that nothing ran.
MASTICSTEP_TEST("a refusal is not_run if no engine could be reached", "[gateway][not_run]")
{
  GatewayFixture fixture({ ClosedUrl() }, {});
  const net::HttpResponse answer = fixture.Complete(true);
  CHECK_EQUAL(503U, answer.status);
  CHECK_TRUE(Contains(answer.body, "\"run\":\"not_run\""));
  CHECK_FALSE(net::FindHeader(answer.headers, "Retry-After").empty());
}

// Guards against a false "not run" after an engine took the request and lost it.
MASTICSTEP_TEST("a refusal says what the engine said about the start", "[gateway][not_run]")
{
  for (const bool hasStarted : { false, true }) {
    TestBackend engine(
      [hasStarted](const net::HttpRequest& aRequest, net::HttpResponder& aResponder) {
        if (aRequest.method == "DELETE") {
          return AnswerStatus(aResponder, 200,
                              hasStarted ? R"({"started":true})" : R"({"started":false})");
        }
        return AnswerStatus(aResponder, 500, "{}");
      });
    GatewayFixture fixture({ engine.Url() }, {});
    const net::HttpResponse answer = fixture.Complete(false);
    CHECK_EQUAL(503U, answer.status);
    CHECK_EQUAL(hasStarted, Contains(answer.body, "\"run\":\"unknown\""));
    CHECK_EQUAL(!hasStarted, Contains(answer.body, "\"run\":\"not_run\""));
  }
}

// Guards against engines that go on working for nobody after the deadline.
MASTICSTEP_TEST("a late request answers 504 and is cancelled on the engine", "[gateway][deadline]")
{
  TestBackend engine(
    [](net::HttpRequest aRequest, net::HttpResponder& aResponder) -> net::Task<void> {
      if (aRequest.method == "DELETE") {
        co_await AnswerStatus(aResponder, 200, R"({"started":true})");
        co_return;
      }
      net::HttpResponseHead head;
      aResponder.StartStream(std::move(head));
      while (!aResponder.IsGone()) {
        co_await aResponder.WriteChunk(": keep-alive\n\n");
        co_await net::Sleep(Milliseconds(20));
      }
    });
  GatewayFixture fixture({ engine.Url() }, {}, 1500);
  const net::HttpResponse answer = fixture.Complete(true);
  CHECK_EQUAL(504U, answer.status);
  CHECK_TRUE(Contains(answer.body, "\"run\":\"unknown\""));
  CHECK_EQUAL(std::string("DELETE /streams/ID"), engine.Log().back());
}

// Guards against statuses that do not name the fault of the request.
MASTICSTEP_TEST("bad requests are refused before any engine is asked", "[gateway][refusal]")
{
  TestBackend engine(AnswerWhole);
  GatewayFixture fixture({ engine.Url() }, {});
  const auto status = [&fixture](const char* aKey, const char* aBody, const char* aClass) {
    net::HttpRequest request{ "POST", "/v1/completions", {}, aBody, {} };
    request.headers.push_back({ "Authorization", aKey });
    request.headers.push_back({ "X-Class", aClass });
    const net::HttpResponse answer = fixture.Call(std::move(request));
    CHECK_TRUE(Contains(answer.body, "\"run\":\"not_run\""));
    CHECK_FALSE(net::FindHeader(answer.headers, "X-Request-Id").empty());
    return answer.status;
  };
  CHECK_EQUAL(401U, status("Bearer wrong", R"({"model":"m","prompt":"p"})", ""));
  CHECK_EQUAL(401U, status("Basic key", R"({"model":"m","prompt":"p"})", ""));
  CHECK_EQUAL(404U, status("Bearer key", R"({"model":"x","prompt":"p"})", ""));
  CHECK_EQUAL(400U, status("Bearer key", R"({"model":"m","prompt":"p"})", "none"));
  CHECK_EQUAL(400U, status("Bearer key", R"({"model":"m"})", ""));
  CHECK_EQUAL(400U, status("Bearer key", R"({"model":"m","prompt":"p","max_tokens":0})", ""));
  CHECK_EQUAL(400U, status("Bearer key", R"({"model":"m","prompt":"p","n":2})", ""));
  CHECK_EQUAL(400U, status("Bearer key", "{", ""));
  CHECK_TRUE(engine.Log().empty());
}

// Guards against new work on a daemon that is about to exit.
MASTICSTEP_TEST("a stopping daemon refuses new requests as not run", "[gateway][drain]")
{
  TestBackend engine(AnswerWhole);
  GatewayFixture fixture({ engine.Url() }, {});
  fixture.Parts().drain.Advance(DrainPhase::Leaving);
  CHECK_EQUAL(200U, fixture.Complete(false).status);
  fixture.Parts().drain.Advance(DrainPhase::Stopping);
  const net::HttpResponse answer = fixture.Complete(false);
  CHECK_EQUAL(503U, answer.status);
  CHECK_TRUE(Contains(answer.body, "\"type\":\"draining\""));
  CHECK_EQUAL(1U, engine.Log().size());
}

// Guards against new work on an engine that leaves.
MASTICSTEP_TEST("a leaving engine gets no new requests", "[gateway][drain]")
{
  TestBackend leaving(AnswerWhole);
  TestBackend staying(AnswerWhole);
  GatewayFixture fixture({ leaving.Url(), staying.Url() }, {});
  fixture.Parts().engines->SetLeaving(EngineId("engine-1"), true, net::Now());
  for (int i = 0; i < 8; ++i) {
    CHECK_EQUAL(200U, fixture.Complete(false).status);
  }
  CHECK_TRUE(leaving.Log().empty());
  CHECK_EQUAL(8U, staying.Log().size());
}
