#include "RelayFixture.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/relay/RelayDaemon.hpp"
#include "masticstep/testing/Test.hpp"

#include <unistd.h>

#include <csignal>
#include <future>
#include <thread>

using namespace masticstep;
using namespace masticstep::relay;

namespace {

// Feed with a constant state.
class FixedFeed : public PlatformFeed
{
public:
  FixedFeed(std::shared_ptr<const dispatch::RouteTable> aTable, dispatch::Backend aBackend)
    : mTable(std::move(aTable))
    , mBackend(std::move(aBackend))
  {
  }

  net::Task<Result<BackendUpdate, FeedError>> ListBackends() override
  {
    co_return BackendUpdate{ { { mBackend.id, mBackend, { 1 } } }, { 1 } };
  }
  net::Task<Result<BackendUpdate, FeedError>> WatchBackends(platform::Version, Duration) override
  {
    co_await net::Sleep(Seconds(3600));
    co_return BackendUpdate{ {}, { 1 } };
  }
  net::Task<Result<RouteTableUpdate, FeedError>> ReadRouteTable() override
  {
    co_return RouteTableUpdate{ mTable, { 1 } };
  }
  net::Task<Result<RouteTableUpdate, FeedError>> WatchRouteTable(platform::Version,
                                                                 Duration) override
  {
    co_await net::Sleep(Seconds(3600));
    co_return RouteTableUpdate{ nullptr, { 1 } };
  }

private:
  std::shared_ptr<const dispatch::RouteTable> mTable;
  dispatch::Backend mBackend;
};

// Store that never completes a request.
class UnresponsiveStore : public platform::ObjectStore
{
public:
  void Submit(platform::PlatformRequest, Callback) override {}
};

std::shared_ptr<const dispatch::RouteTable> Table()
{
  dispatch::RouteTable::Parts parts;
  dispatch::Route route;
  route.host = "a.example";
  route.pathPrefix = "/";
  route.shares = { { ServiceName{ "plain" }, 1 } };
  parts.routes = { route };
  return *dispatch::RouteTable::Create(std::move(parts));
}

RelaySettings LoopbackSettings()
{
  RelaySettings settings;
  settings.callers = { "127.0.0.1", 0 };
  settings.readiness = { "127.0.0.1", 0 };
  settings.readinessPath = "/ready";
  settings.reportAddress = { "127.0.0.1", 0 };
  settings.grace = Seconds(20);
  return settings;
}

std::string QueryReadiness(std::uint16_t aPort)
{
  net::RawClient client({ "127.0.0.1", aPort });
  client.Send("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  return client.ReadUntilClosed().substr(0, 12);
}

} // namespace

// Guards against a graceful shutdown that aborts requests, and against a load balancer that keeps
// sending requests to a stopping daemon.
MASTICSTEP_TEST("a stop signal makes the daemon unready and lets running requests finish",
                "[relay][daemon][drain]")
{
  std::promise<void> arrived;
  std::promise<void> mayAnswer;
  ScriptedBackend backend([&](const std::string&) {
    arrived.set_value();
    mayAnswer.get_future().wait();
    return ScriptedResponse{ SignedResponse(200, "done"), ScriptedResponse::Then::KeepOpen };
  });
  dispatch::Backend entry;
  entry.id = BackendServerName{ "b1" };
  entry.service = ServiceName{ "plain" };
  entry.address = { "127.0.0.1", backend.Port() };
  const RelayDaemon::AccessFactory access = [&entry](const net::Executor&) {
    PlatformAccess platformAccess;
    platformAccess.feed = std::make_shared<FixedFeed>(Table(), entry);
    platformAccess.store = std::make_shared<UnresponsiveStore>();
    return platformAccess;
  };
  const std::unique_ptr<RelayDaemon> daemon =
    *RelayDaemon::Create(LoopbackSettings(), std::make_shared<TestDialect>(), access);
  std::thread loop([&daemon] { daemon->Run(); });
  while (QueryReadiness(daemon->ReadinessPort()) != "HTTP/1.1 200") {
  }
  net::RawClient client({ "127.0.0.1", daemon->CallerPort() });
  client.Send("POST / HTTP/1.1\r\nHost: a.example\r\nId: c1\r\nContent-Length: 0\r\n\r\n");
  arrived.get_future().wait();
  kill(getpid(), SIGTERM);
  while (QueryReadiness(daemon->ReadinessPort()) != "HTTP/1.1 503") {
  }
  mayAnswer.set_value();
  const std::string answer = client.ReadUntilClosed();
  loop.join();
  CHECK_TRUE(answer.starts_with("HTTP/1.1 200"));
  CHECK_TRUE(answer.find("Connection: close") != std::string::npos);
  CHECK_TRUE(answer.ends_with("done"));
}
