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
