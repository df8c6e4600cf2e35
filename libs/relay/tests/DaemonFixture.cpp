#include "DaemonFixture.hpp"

#include "masticstep/net/Sleep.hpp"

#include <unistd.h>

#include <csignal>
#include <utility>

namespace masticstep::relay {

namespace {

// Feed with a constant state.
class FixedFeed : public PlatformFeed
{
public:
  FixedFeed(std::shared_ptr<const dispatch::RouteTable> aTable,
            std::vector<dispatch::Backend> aBackends)
    : mTable(std::move(aTable))
    , mBackends(std::move(aBackends))
  {
  }

  net::Task<Result<BackendUpdate, FeedError>> ListBackends() override
  {
    BackendUpdate update;
    for (const dispatch::Backend& backend : mBackends) {
      update.changes.push_back({ backend.id, backend, { 1 } });
    }
    update.revision = { 1 };
    co_return update;
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
  std::vector<dispatch::Backend> mBackends;
};

// Store that never completes a request.
class UnresponsiveStore : public platform::ObjectStore
{
public:
  void Submit(platform::PlatformRequest, Callback) override {}
};

RelaySettings LoopbackSettings(Duration aGrace)
{
  RelaySettings settings;
  settings.callers = { "127.0.0.1", 0 };
  settings.readiness = { "127.0.0.1", 0 };
  settings.readinessPath = "/ready";
  settings.reportAddress = { "127.0.0.1", 0 };
  settings.grace = aGrace;
  // Tests send single requests, so no earlier requests have filled the retry budget.
  settings.retries = dispatch::RetryBounds{ 0.2, 640.0, Seconds(10) };
  return settings;
}

} // namespace

DaemonFixture::DaemonFixture(Duration aGrace, std::vector<dispatch::Route> aRoutes,
                             std::vector<dispatch::Backend> aBackends)
  : mSignalGuard(mGuardContext, SIGTERM)
{
  dispatch::RouteTable::Parts parts;
  parts.routes = std::move(aRoutes);
  const std::shared_ptr<const dispatch::RouteTable> table =
    *dispatch::RouteTable::Create(std::move(parts));
  const RelayDaemon::AccessFactory access = [&table, &aBackends](const net::Executor&) {
    PlatformAccess platformAccess;
    platformAccess.feed = std::make_shared<FixedFeed>(table, aBackends);
    platformAccess.store = std::make_shared<UnresponsiveStore>();
    return platformAccess;
  };
  mDaemon = *RelayDaemon::Create(LoopbackSettings(aGrace), std::make_shared<TestDialect>(), access);
  mCallerPort = mDaemon->CallerPort();
  mReadinessPort = mDaemon->ReadinessPort();
  mLoop = std::thread([this] {
    mDaemon->Run();
    // Closes the connections that the daemon has left open, as the end of its process does.
    mDaemon.reset();
  });
  while (QueryReadiness() != "HTTP/1.1 200") {
  }
}

DaemonFixture::~DaemonFixture()
{
  if (mLoop.joinable()) {
    StopAll();
    WaitForEnd();
  }
}

void DaemonFixture::StopAll()
{
  kill(getpid(), SIGTERM);
}

void DaemonFixture::WaitForEnd()
{
  mLoop.join();
}

std::string DaemonFixture::QueryReadiness() const
{
  net::RawClient client({ "127.0.0.1", mReadinessPort });
  client.Send("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  return client.ReadUntilClosed().substr(0, 12);
}

dispatch::Backend MakeBackend(const std::string& aId, const std::string& aService,
                              const ScriptedBackend& aServer, dispatch::Stage aStage)
{
  dispatch::Backend backend;
  backend.id = BackendServerName{ aId };
  backend.service = ServiceName{ aService };
  backend.address = { "127.0.0.1", aServer.Port() };
  backend.slots = 64;
  backend.stage = aStage;
  return backend;
}

} // namespace masticstep::relay
