#include "Daemon.hpp"

#include "AdminHandler.hpp"
#include "AdmissionTasks.hpp"
#include "CallerHandler.hpp"
#include "ConfigurationFollower.hpp"
#include "DrainEntries.hpp"
#include "EngineLoads.hpp"
#include "HostListFollower.hpp"
#include "RoleControl.hpp"
#include "ServiceSummaries.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <csignal>
#include <random>
#include <utility>

namespace masticstep::gateway {

namespace asio = boost::asio;
using telemetry::Level;

namespace {

constexpr Duration kDrainCheckInterval = Milliseconds(20);
// Time before the shutdown deadline for sending error events to streams that are still running.
constexpr Duration kErrorEventReserve = Seconds(1);

std::uint64_t RandomNumber()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::uint64_t UnixMilliseconds()
{
  const std::chrono::system_clock::duration n = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(n).count());
}

void OnEntry(GatewayParts& aParts, const Entry& aEntry)
{
  if (aEntry.key.kind == EntryKind::EngineLoad) {
    OnLoadEntry(aParts, aEntry);
  } else if (aEntry.key.kind == EntryKind::ServiceSummary) {
    OnSummaryEntry(aParts, aEntry);
  } else if (aEntry.key.kind == EntryKind::AccountUsage) {
    if (aEntry.owner != aParts.settings.host) {
      aParts.admission.OnPeerDemand(aEntry.owner, aEntry.value);
    }
  } else if (aEntry.key.kind == EntryKind::Drain) {
    const BackendServerName server = DrainedServer(aEntry.key);
    const bool isDrained = IsDrained(*aParts.peering, server);
    aParts.engines->SetDraining(server, isDrained, net::Now());
    aParts.servers->SetDraining(server, isDrained, net::Now());
  }
}

net::HostPort AddressOf(const SocketAddress& aAddress)
{
  return { aAddress.ip, aAddress.port };
}

net::ServerLimits ToServerLimits(const ConnectionLimits& aLimits)
{
  return { aLimits.headerBytes,          aLimits.bodyBytes,
           aLimits.idleTimeout,          aLimits.idleTimeout,
           aLimits.connectionsPerSource, aLimits.slowReaderTimeout };
}

Result<std::shared_ptr<net::TlsContext>, net::NetError> CreateCallerTls(const Settings& aSettings)
{
  if (!aSettings.tls || !aSettings.tls->callers) {
    return std::shared_ptr<net::TlsContext>();
  }
  const net::TlsFiles files{ aSettings.tls->certificate, aSettings.tls->key,
                             aSettings.tls->authority };
  return net::TlsContext::CreateServer(files, net::TlsPeerCheck::None);
}

} // namespace

Daemon::Daemon(const Settings& aSettings)
  : mParts(std::make_shared<GatewayParts>(aSettings, RandomNumber()))
  , mWorkers(aSettings.workers)
  , mSignals(mWorkers.Context())
{
}

Daemon::~Daemon()
{
  if (mParts->peering) {
    mParts->peering->Stop();
  }
  mWorkers.Stop();
  // Timers and connections belong to the event loop, which is destroyed before mParts.
  mParts->pool->Close();
  mConfigurationFollower = nullptr;
  mHostListFollower = nullptr;
  mRoleControl = nullptr;
  mParts->peering = nullptr;
  mParts->orders = nullptr;
  mStore = nullptr;
}

Result<std::unique_ptr<Daemon>, net::NetError> Daemon::Create(const Settings& aSettings)
{
  std::unique_ptr<Daemon> daemon(new Daemon(aSettings));
  const Result<void, net::NetError> started = daemon->Start();
  if (!started) {
    return Failure(started.error());
  }
  return daemon;
}

Result<void, net::NetError> Daemon::Start()
{
  const Settings& settings = mParts->settings;
  const Result<std::shared_ptr<net::TlsContext>, net::NetError> tls = CreateCallerTls(settings);
  if (!tls) {
    return Failure(tls.error());
  }
  // All components are set up before the first request can arrive.
  StartOrders();
  mConfigurationFollower = std::make_shared<ConfigurationFollower>(mParts, mStore);
  mHostListFollower = std::make_shared<HostListFollower>(mParts, mStore);
  mRoleControl = std::make_shared<RoleControl>(mParts, mStore, mWorkers.Context().get_executor());
  const Result<void, net::NetError> peering = StartPeering();
  if (!peering) {
    return Failure(peering.error());
  }
  Result<std::unique_ptr<net::HttpServer>, net::NetError> callers = net::HttpServer::Create(
    mWorkers.Context(), AddressOf(settings.callerAddress), ToServerLimits(settings.limits),
    std::make_shared<CallerHandler>(mParts), *tls);
  if (!callers) {
    return Failure(callers.error());
  }
  mCallerServer = std::move(*callers);
  Result<std::unique_ptr<net::HttpServer>, net::NetError> admin = net::HttpServer::Create(
    mWorkers.Context(), AddressOf(settings.adminAddress), ToServerLimits(settings.limits),
    std::make_shared<AdminHandler>(mParts, [this] { Drain(); }));
  if (!admin) {
    return Failure(admin.error());
  }
  mAdminServer = std::move(*admin);
  StartTasks();
  mSignals.add(SIGTERM);
  mSignals.add(SIGINT);
  mSignals.async_wait([this](boost::system::error_code aError, int) {
    if (!aError) {
      Drain();
    }
  });
  telemetry::Log(Level::Info, "daemon started",
                 { { "callers", CallerPort() }, { "admin", AdminPort() } });
  return {};
}

void Daemon::StartOrders()
{
  const Settings& settings = mParts->settings;
  platform_client::StoreOptions options;
  options.address = gateway::AddressOf(settings.platformUrl);
  options.path = settings.platformUrl.path;
  options.seed = RandomNumber();
  mStore = std::make_shared<platform_client::HttpObjectStore>(mWorkers.Context().get_executor(),
                                                              std::move(options));
  order_service::OrderServiceOptions orderOptions;
  orderOptions.daemon = settings.host;
  orderOptions.processNonce = HexText(RandomNumber());
  mParts->orders = std::make_shared<order_service::OrderService>(
    mWorkers.Context().get_executor(), mStore, std::move(orderOptions), mParts->metrics);
}

Result<void, net::NetError> Daemon::StartPeering()
{
  const Settings& settings = mParts->settings;
  PeeringSettings options;
  options.host = settings.host;
  options.region = settings.region;
  options.dataCentre = settings.dataCentre;
  options.address = ToString(settings.peerAddress);
  for (const SocketAddress& seed : settings.peers) {
    options.seeds.push_back(ToString(seed));
  }
  if (settings.tls) {
    options.tls =
      net::TlsFiles{ settings.tls->certificate, settings.tls->key, settings.tls->authority };
  }
  options.initialIncarnation = UnixMilliseconds();
  options.randomSeed = RandomNumber();
  PeeringEvents events;
  events.onEntry = [parts = mParts](const Entry& aEntry) { OnEntry(*parts, aEntry); };
  events.onConfiguration = [follower = mConfigurationFollower](const ConfigurationBundle& aBundle) {
    follower->OnBundle(aBundle);
  };
  Result<std::unique_ptr<Peering>, PeeringError> peering =
    Peering::Create(mWorkers.Context(), std::move(options), std::move(events));
  if (!peering) {
    return Failure(net::NetError{ net::NetErrorKind::ConnectFailed, peering.error().message });
  }
  mParts->peering = std::move(*peering);
  mParts->peering->Start();
  return {};
}

void Daemon::StartTasks()
{
  const auto spawn = [this](auto aFunction) {
    asio::co_spawn(asio::make_strand(mWorkers.Context()), std::move(aFunction), asio::detached);
  };
  spawn([follower = mConfigurationFollower] { return follower->Watch(); });
  spawn([follower = mConfigurationFollower] { return follower->ReportInForce(); });
  spawn([hosts = mHostListFollower] { return hosts->Watch(); });
  spawn([roles = mRoleControl] { return roles->Run(); });
  spawn([parts = mParts] { return PollLoads(parts); });
  spawn([parts = mParts] { return RunAdmission(parts); });
  spawn([parts = mParts] { return RunLimitSharing(parts); });
  spawn([parts = mParts] { return PublishSummaries(parts); });
}

void Daemon::Wait()
{
  mStopped.get_future().wait();
}

void Daemon::Drain()
{
  if (!mParts->drain.Advance(DrainPhase::Leaving)) {
    return;
  }
  telemetry::Log(Level::Info, "shutdown begins", { { "running", mParts->running.Count() } });
  asio::co_spawn(
    asio::make_strand(mWorkers.Context()), [this] { return Shutdown(); }, asio::detached);
}

net::Task<void> Daemon::Shutdown()
{
  const Time start = net::Now();
  const Time cancelTime =
    start + std::max(mParts->settings.shutdownTimeout - kErrorEventReserve, Duration::zero());
  const Time deadline = start + mParts->settings.shutdownTimeout;
  mCallerServer->CloseAfterAnswers();
  mParts->peering->Leave();
  co_await net::Sleep(std::min(mParts->settings.balancerNotice, mParts->settings.shutdownTimeout));
  mParts->drain.Advance(DrainPhase::Stopping);
  mCallerServer->StopAccepting();
  mConfigurationFollower->Stop();
  mHostListFollower->Stop();
  mRoleControl->Stop();
  while (mParts->running.Count() > 0 && net::Now() < cancelTime) {
    co_await net::Sleep(kDrainCheckInterval);
  }
  const std::size_t unfinished = mParts->running.Count();
  mParts->running.CancelAll();
  while ((mParts->running.Count() > 0 || mCallerServer->ConnectionCount() > 0) &&
         net::Now() < deadline) {
    co_await net::Sleep(kDrainCheckInterval);
  }
  const bool areOutcomesRecorded = co_await mParts->orders->Drain(deadline);
  telemetry::Log(unfinished == 0 ? Level::Info : Level::Warning, "shutdown ends",
                 { { "cut", unfinished }, { "outcomes_recorded", areOutcomesRecorded } });
  mStopped.set_value();
}

} // namespace masticstep::gateway
