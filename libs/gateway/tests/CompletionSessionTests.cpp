#include "GatewayFixture.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::gateway;

namespace {

using Log = std::vector<std::string>;

const std::string kCompleteText = "\"text\":\"t0 t1 t2 t3 \"";

net::Task<void> SendCompleteResponse(net::HttpRequest aRequest, net::HttpResponder& aResponder)
{
  std::string id = RequestIdOf(aRequest);
  co_await SendTokens(aResponder, std::move(id), 0, 4, true);
}

net::Task<void> SendStatus(net::HttpResponder& aResponder, unsigned aStatus, std::string aBody)
{
  net::HttpResponse response = net::JsonResponse(aStatus, std::move(aBody));
  co_await aResponder.Send(std::move(response));
}

unsigned OffsetOf(const net::HttpRequest& aRequest)
{
  return static_cast<unsigned>(std::stoul(aRequest.target.substr(aRequest.target.find('=') + 1)));
}

// URL of a port that nothing listens on.
std::string UnreachableUrl()
{
  const TestBackend closed(SendCompleteResponse);
  return closed.Url();
}

} // namespace

// Guards against responses that lose, repeat or reorder tokens.
MASTICSTEP_TEST("a completion is relayed as one response or as a stream", "[gateway]")
{
  TestBackend engine(SendCompleteResponse);
  GatewayFixture fixture({ engine.Url() }, {});
  const net::HttpResponse buffered = fixture.Complete(false);
  CHECK_EQUAL(200U, buffered.status);
  CHECK_TRUE(Contains(buffered.body, kCompleteText));
  const net::HttpResponse stream = fixture.Complete(true);
  const std::string id(net::FindHeader(stream.headers, "X-Request-Id"));
  std::string expected;
  for (unsigned i = 0; i < 4; ++i) {
    expected += TokenText(id, i, i == 3);
  }
  CHECK_EQUAL(expected + "data: [DONE]\n\n", stream.body);
}

// Guards against a token that is lost or sent twice when a stream is resumed over a new connection.
MASTICSTEP_TEST("a broken stream is resumed at its offset", "[gateway][resume]")
{
  TestBackend engine([](const net::HttpRequest& aRequest, net::HttpResponder& aResponder) {
    const bool isResume = aRequest.method == "GET";
    return SendTokens(aResponder, RequestIdOf(aRequest), isResume ? OffsetOf(aRequest) : 0,
                      isResume ? 4 : 2, isResume);
  });
  GatewayFixture fixture({ engine.Url() }, {});
  CHECK_TRUE(Contains(fixture.Complete(false).body, kCompleteText));
  CHECK_TRUE((Log{ "POST /v1/completions", "GET /streams/ID?offset=2" }) == engine.Log());
}

// Guards against waiting forever on an open connection that delivers no more data.
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
  CHECK_TRUE(Contains(fixture.Complete(false).body, kCompleteText));
}

// Guards against relaying the tokens of another request to a caller.
MASTICSTEP_TEST("a token with another request id is never relayed", "[gateway][crossed]")
{
  TestBackend engine([](const net::HttpRequest& aRequest, net::HttpResponder& aResponder) {
    const std::string own = RequestIdOf(aRequest);
    return SendTokens(aResponder, aRequest.method == "GET" ? own : "other", 0, 4, true);
  });
  GatewayFixture fixture({ engine.Url() }, {});
  CHECK_TRUE(Contains(fixture.Complete(false).body, kCompleteText));
  CHECK_EQUAL(std::string("GET /streams/ID?offset=0"), engine.Log().at(1));
}

// Guards against missing tokens in a response that looks complete.
MASTICSTEP_TEST("a token after a gap in the offsets is never relayed", "[gateway][crossed]")
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
  CHECK_TRUE(Contains(fixture.Complete(false).body, kCompleteText));
  CHECK_EQUAL(std::string("GET /streams/ID?offset=1"), engine.Log().at(1));
}

// Guards against a stream that ends without an indication that it is incomplete.
MASTICSTEP_TEST("a stream that cannot be resumed ends with an error event", "[gateway][not_run]")
{
  TestBackend engine([](const net::HttpRequest& aRequest, net::HttpResponder& aResponder) {
    return aRequest.method == "POST" ? SendTokens(aResponder, RequestIdOf(aRequest), 0, 2, false)
                                     : SendStatus(aResponder, 404, "{}");
  });
  GatewayFixture fixture({ engine.Url() }, {});
  const net::HttpResponse response = fixture.Complete(true);
  CHECK_EQUAL(200U, response.status);
  CHECK_TRUE(Contains(response.body, "event: error\ndata: {"));
  CHECK_TRUE(Contains(response.body, "\"run\":\"unknown\""));
  CHECK_FALSE(Contains(response.body, "[DONE]"));
}

// Guards against a response that contains only the tokens that had arrived before the failure.
MASTICSTEP_TEST("a non-streaming response that breaks off gets run state unknown",
                "[gateway][not_run]")
{
  TestBackend engine([](const net::HttpRequest& aRequest, net::HttpResponder& aResponder) {
    return aRequest.method == "POST" ? SendTokens(aResponder, RequestIdOf(aRequest), 0, 2, false)
                                     : SendStatus(aResponder, 404, "{}");
  });
  GatewayFixture fixture({ engine.Url() }, {});
  const net::HttpResponse response = fixture.Complete(false);
  CHECK_EQUAL(503U, response.status);
  CHECK_TRUE(Contains(response.body, "\"run\":\"unknown\""));
}

// Guards against an error response while another engine could serve the request.
MASTICSTEP_TEST("a request without a relayed token is retried on another engine",
                "[gateway][retry]")
{
  TestBackend engine(SendCompleteResponse);
  GatewayFixture fixture({ UnreachableUrl(), UnreachableUrl(), engine.Url() }, {});
  for (int i = 0; i < 5; ++i) {
    CHECK_TRUE(Contains(fixture.Complete(false).body, kCompleteText));
  }
}

// Guards against run state "unknown" when the request certainly did not run.
MASTICSTEP_TEST("an error has run state not_run if no engine could be reached",
                "[gateway][not_run]")
{
  GatewayFixture fixture({ UnreachableUrl() }, {});
  const net::HttpResponse response = fixture.Complete(true);
  CHECK_EQUAL(503U, response.status);
  CHECK_TRUE(Contains(response.body, "\"run\":\"not_run\""));
  CHECK_FALSE(net::FindHeader(response.headers, "Retry-After").empty());
}

// Guards against a wrong run state "not_run" after an engine accepted the request and lost it.
MASTICSTEP_TEST("an error reports whether the engine had started the request", "[gateway][not_run]")
{
  for (const bool hasStarted : { false, true }) {
    TestBackend engine(
      [hasStarted](const net::HttpRequest& aRequest, net::HttpResponder& aResponder) {
        if (aRequest.method == "DELETE") {
          return SendStatus(aResponder, 200,
                            hasStarted ? R"({"started":true})" : R"({"started":false})");
        }
        return SendStatus(aResponder, 500, "{}");
      });
    GatewayFixture fixture({ engine.Url() }, {});
    const net::HttpResponse response = fixture.Complete(false);
    CHECK_EQUAL(503U, response.status);
    CHECK_EQUAL(hasStarted, Contains(response.body, "\"run\":\"unknown\""));
    CHECK_EQUAL(!hasStarted, Contains(response.body, "\"run\":\"not_run\""));
  }
}

// Guards against engines that keep processing a request after its deadline.
MASTICSTEP_TEST("a request past its deadline gets 504 and is cancelled on the engine",
                "[gateway][deadline]")
{
  TestBackend engine(
    [](net::HttpRequest aRequest, net::HttpResponder& aResponder) -> net::Task<void> {
      if (aRequest.method == "DELETE") {
        co_await SendStatus(aResponder, 200, R"({"started":true})");
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
  const net::HttpResponse response = fixture.Complete(true);
  CHECK_EQUAL(504U, response.status);
  CHECK_TRUE(Contains(response.body, "\"run\":\"unknown\""));
  CHECK_EQUAL(std::string("DELETE /streams/ID"), engine.Log().back());
}

// Guards against status codes that do not match the error in the request.
MASTICSTEP_TEST("invalid requests are refused before any engine is contacted", "[gateway][refusal]")
{
  TestBackend engine(SendCompleteResponse);
  GatewayFixture fixture({ engine.Url() }, {});
  const auto status = [&fixture](const char* aKey, const char* aBody, const char* aClass) {
    net::HttpRequest request{ "POST", "/v1/completions", {}, aBody, {} };
    request.headers.push_back({ "Authorization", aKey });
    request.headers.push_back({ "X-Class", aClass });
    const net::HttpResponse response = fixture.Call(std::move(request));
    CHECK_TRUE(Contains(response.body, "\"run\":\"not_run\""));
    CHECK_FALSE(net::FindHeader(response.headers, "X-Request-Id").empty());
    return response.status;
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

// Guards against accepting requests in a daemon that is about to exit.
MASTICSTEP_TEST("a stopping daemon refuses new requests with run state not_run", "[gateway][drain]")
{
  TestBackend engine(SendCompleteResponse);
  GatewayFixture fixture({ engine.Url() }, {});
  fixture.Parts().drain.Advance(DrainPhase::Leaving);
  CHECK_EQUAL(200U, fixture.Complete(false).status);
  fixture.Parts().drain.Advance(DrainPhase::Stopping);
  const net::HttpResponse response = fixture.Complete(false);
  CHECK_EQUAL(503U, response.status);
  CHECK_TRUE(Contains(response.body, "\"type\":\"draining\""));
  CHECK_EQUAL(1U, engine.Log().size());
}

// Guards against sending requests to a draining engine.
MASTICSTEP_TEST("a draining engine gets no new requests", "[gateway][drain]")
{
  TestBackend draining(SendCompleteResponse);
  TestBackend active(SendCompleteResponse);
  GatewayFixture fixture({ draining.Url(), active.Url() }, {});
  fixture.Parts().engines->SetDraining(EngineId("engine-1"), true, net::Now());
  for (int i = 0; i < 8; ++i) {
    CHECK_EQUAL(200U, fixture.Complete(false).status);
  }
  CHECK_TRUE(draining.Log().empty());
  CHECK_EQUAL(8U, active.Log().size());
}
