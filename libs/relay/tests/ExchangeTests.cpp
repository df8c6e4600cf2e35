#include "Exchange.hpp"

#include "RelayFixture.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::relay;

// Guards against a failed attempt that is missing in the log: the body of the refusal became a part
// of the log line, and the log drops lines of such a size.
MASTICSTEP_TEST("the body of a refusal is cut where it is reported", "[relay][exchange][bounds]")
{
  const std::string body(1000000, 'x');
  ScriptedBackend server([&body](const std::string&) {
    return ScriptedResponse{ "HTTP/1.1 503 X\r\nId: c1\r\nNot-Run: 1\r\nContent-Length: 1000000"
                             "\r\n\r\n" +
                             body };
  });
  net::WorkerPool workers(1);
  const std::shared_ptr<RelayState> state = std::make_shared<RelayState>(
    workers.Context().get_executor(), std::make_shared<TestDialect>(),
    dispatch::Locality{ DataCentreName{ "d0" }, RegionName{ "r" } }, 1);
  dispatch::Backend backend;
  backend.id = BackendServerName{ "a" };
  backend.address = { "127.0.0.1", server.Port() };
  const std::function<net::Task<ExchangeError>()> refusal =
    [&state, &backend]() -> net::Task<ExchangeError> {
    net::ConnectionIds used;
    Exchange exchange(*state, backend, "c1", used);
    net::HttpRequest request;
    const Result<BackendResponseHead, ExchangeError> head =
      co_await exchange.Start(std::move(request), net::Now() + Seconds(5), Seconds(1));
    co_return head ? ExchangeError{} : head.error();
  };
  const ExchangeError error = net::Await<ExchangeError>(workers, refusal);
  CHECK_TRUE(error.progress == Progress::NotExecuted);
  CHECK_TRUE(error.detail.starts_with("status 503"));
  CHECK_TRUE(error.detail.size() < 1000);
  workers.Stop();
  state->pool->Close();
}

// Guards against callers that get a status that means nothing in HTTP as the answer of a backend
// server in trouble.
MASTICSTEP_TEST("an answer without a valid status reaches no caller", "[relay][failure][mixed]")
{
  for (const std::string status : { "000", "099", "600", "999" }) {
    ScriptedBackend server([&status](const std::string&) {
      return ScriptedResponse{ "HTTP/1.1 " + status +
                               " X\r\nId: c1\r\nSigned: s\r\nContent-Length: 4\r\n\r\nbody" };
    });
    RelayFixture fixture;
    fixture.Add("b1", "plain", server);
    fixture.Add("e1", "llm", server);
    for (const char* const path : { "/once/", "/again/", "/stream/", "/resume/" }) {
      const std::string answer = fixture.SendRequest("POST", path);
      CHECK_TRUE(answer.starts_with("HTTP/1.1 502") || answer.starts_with("HTTP/1.1 503"));
    }
  }
}
