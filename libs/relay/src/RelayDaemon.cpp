#include "masticstep/relay/RelayDaemon.hpp"

#include "AdminHandler.hpp"
#include "DutyExchange.hpp"
#include "DutyRunner.hpp"
#include "FreshnessExchange.hpp"
#include "PlatformWatcher.hpp"
#include "QuarantineExchange.hpp"
#include "ReachTrackingStore.hpp"
#include "Session.hpp"
#include "StageController.hpp"
#include "StreamOriginExchange.hpp"
#include "WorkReportChannel.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/relay/RelayHandler.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <random>
#include <utility>

namespace masticstep::relay {

namespace asio = boost::asio;
using telemetry::Level;

namespace {

constexpr Duration kReloadInterval = Seconds(2);
constexpr Duration kDrainCheckInterval = Milliseconds(20);
// High, since the load balancer connects from few addresses.
constexpr std::size_t kConnectionsPerSource = 4096;
constexpr Duration kSlowReaderTimeout = Seconds(5);
// Requests of callers may take a quarter of the machine's memory: answers take a third, and the
// control state and buffers of connections the rest.
constexpr std::size_t kIntakeDivisor = 4;
// The platform keeps this many descriptors for files. Callers' connections take seven tenths of the
// others; the rest is for engines, the store, peers and operators.
constexpr std::size_t kDescriptorsForFiles = 200;
constexpr std::size_t kCallerShareOfTen = 7;
constexpr Duration kPressureLogInterval = Seconds(1);
// Interval between polls for the completion of an order, about the time that an engine needs for
// it.
constexpr Duration kOrderPollInterval = Milliseconds(3500);
// Usage is due some seconds after its window, so duties need a successor sooner than stages do.
constexpr Duration kDutyLease = Seconds(4);

std::uint64_t RandomSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string HexText(std::uint64_t aNumber)
{
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(aNumber));
  return text;
}

} // namespace

RelayDaemon::RelayDaemon(RelaySettings aSettings, std::shared_ptr<const Dialect> aDialect)
  : mSettings(std::move(aSettings))
  , mContext(1)
  , mSignals(mContext)
  , mState(std::make_shared<RelayState>(mContext.get_executor(), std::move(aDialect),
                                        mSettings.place, RandomSeed(), mSettings.memoryBytes))
{
  mState->retryBudget.SetBounds(mSettings.retries);
  mState->hedges = hedging::HedgePolicy(mSettings.hedges);
  mState->freshness = accounts::ConfigurationFreshness(mSettings.withdrawalLimit);
  mState->directory.SetEntryLifetime(mSettings.entryLifetime);
}

RelayDaemon::~RelayDaemon()
{
  mState->pool->Close();
}

Result<std::unique_ptr<RelayDaemon>, net::NetError> RelayDaemon::Create(
  RelaySettings aSettings, std::shared_ptr<const Dialect> aDialect,
  const AccessFactory& aCreateAccess)
{
  std::unique_ptr<RelayDaemon> daemon(new RelayDaemon(std::move(aSettings), std::move(aDialect)));
  const Result<void, net::NetError> started = daemon->Start(aCreateAccess);
  if (!started) {
    return Failure(started.error());
  }
  return daemon;
}

Result<void, net::NetError> RelayDaemon::Start(const AccessFactory& aCreateAccess)
{
  Result<std::unique_ptr<net::HttpServer>, net::NetError> callerServer =
    net::HttpServer::Create(mContext, mSettings.callers, ToServerLimits(dispatch::RequestLimits{}),
                            std::make_shared<RelayHandler>(mState));
  if (!callerServer) {
    return Failure(callerServer.error());
  }
  mCallerServer = std::move(*callerServer);
  mCallerServer->OnIntakePressure(
    [this](const net::IntakePressure& aPressure) { OnIntakePressure(aPressure); });
  const std::shared_ptr<AdminHandler> adminHandler =
    std::make_shared<AdminHandler>(mState, mSettings.readinessPath, [this] { return IsReady(); });
  Result<std::unique_ptr<net::HttpServer>, net::NetError> readinessServer =
    net::HttpServer::Create(mContext, mSettings.readiness, net::ServerLimits{}, adminHandler);
  if (!readinessServer) {
    return Failure(readinessServer.error());
  }
  mReadinessServer = std::move(*readinessServer);
  if (mSettings.metrics) {
    Result<std::unique_ptr<net::HttpServer>, net::NetError> metricsServer =
      net::HttpServer::Create(mContext, *mSettings.metrics, net::ServerLimits{}, adminHandler);
    if (!metricsServer) {
      return Failure(metricsServer.error());
    }
    mMetricsServer = std::move(*metricsServer);
  }
  PlatformAccess access = aCreateAccess(mContext.get_executor());
  access.store = std::make_shared<ReachTrackingStore>(mState, std::move(access.store));
  const Duration routeTableWatch =
    accounts::FreshnessPolicy(mSettings.withdrawalLimit, 0.0).WatchTime();
  const WatchOptions watchOptions{ mSettings.maximumSilence, mSettings.watchPause, RandomSeed(),
                                   kElectionTime, routeTableWatch };
  mWatcher = std::make_shared<PlatformWatcher>(mState, access.feed, watchOptions);
  mWatcher->OnRouteTable([this] { ApplyLimits(); });
  mWorkReports = WorkReportChannel::Create(mState, access.store, mSettings.host,
                                           mSettings.place.dataCentre, mSettings.reportAddress);
  mQuarantineExchange =
    std::make_shared<QuarantineExchange>(mState, mWorkReports, access.store, RandomSeed());
  mOriginExchange = std::make_shared<StreamOriginExchange>(
    mState, mWorkReports, access.store, mSettings.place.dataCentre, RandomSeed(),
    [watcher = mWatcher] { return watcher->ListBackends(); });
  mState->streamOriginExchange = mOriginExchange;
  if (mState->freshness.IsRequired()) {
    mFreshnessExchange = std::make_shared<FreshnessExchange>(
      mState, mWorkReports, [watcher = mWatcher] { return watcher->ReadRouteTable(); },
      RandomSeed());
  }
  StartStageController(std::move(access));
  StartLoops();
  telemetry::Log(Level::Info, "daemon started",
                 { { "callers", net::ToString(mSettings.callers) },
                   { "data_centre", mSettings.place.dataCentre.Text() } });
  return {};
}

void RelayDaemon::StartStageController(PlatformAccess aAccess)
{
  control::AuthorityOptions options;
  // One lease for the engines of all data centres.
  options.dataCentre = DataCentreName{ "all" };
  options.role = "stages";
  options.holder = mSettings.host;
  options.processNonce = HexText(RandomSeed());
  options.orderPollInterval = kOrderPollInterval;
  options.mayHavePredecessor = mSettings.mayHavePredecessor;
  options.pauseAfterRelease = mSettings.holderPause;
  if (!mSettings.duties.IsEmpty()) {
    options.lease = std::max(kDutyLease, mSettings.holderPause);
  }
  const std::shared_ptr<platform::ObjectStore> store = aAccess.store;
  const std::shared_ptr<control::EngineAuthority> authority =
    std::make_shared<control::EngineAuthority>(mContext.get_executor(), std::move(aAccess.store),
                                               std::move(options), std::move(aAccess.orders));
  StageOrderNames names{ std::move(aAccess.stageChangeOperation), std::move(aAccess.prefillStage),
                         std::move(aAccess.decodeStage) };
  mStageController = std::make_shared<StageController>(
    mState, authority, std::move(names), mSettings.stages, mSettings.enginesCheckFencing);
  if (!mSettings.duties.IsEmpty()) {
    StartDuties(store, authority, std::move(aAccess.duties));
  }
}

void RelayDaemon::StartDuties(std::shared_ptr<platform::ObjectStore> aStore,
                              std::shared_ptr<control::EngineAuthority> aAuthority,
                              std::shared_ptr<const DutyCodec> aCodec)
{
  mState->duties.host = mSettings.host;
  mState->duties.clock.OnOwnReading(net::TimeOfDay(), net::Now());
  if (mSettings.duties.reportsUsage) {
    mState->duties.windows = duties::UsageWindows(mSettings.duties.usageWindow);
  }
  mDutyExchange =
    std::make_shared<DutyExchange>(mState, mWorkReports, aAuthority, mSettings.place.dataCentre);
  mDutyRunner = std::make_shared<DutyRunner>(mState, std::move(aStore), std::move(aAuthority),
                                             std::move(aCodec), mSettings.duties);
}

void RelayDaemon::StartLoops()
{
  const auto spawn = [this](auto aFunction) {
    asio::co_spawn(mContext, std::move(aFunction), asio::detached);
  };
  spawn([watcher = mWatcher] { return watcher->RunRouteTableWatch(); });
  spawn([watcher = mWatcher] { return watcher->RunBackendWatch(); });
  spawn([watcher = mWatcher] { return watcher->RunRouteTableResync(); });
  spawn([watcher = mWatcher] { return watcher->RunBackendResync(); });
  spawn([watcher = mWatcher] { return watcher->RunBackendExpiry(); });
  spawn([stages = mStageController] { return stages->Run(); });
  spawn([exchange = mQuarantineExchange] { return exchange->SendEvidence(); });
  spawn([exchange = mQuarantineExchange] { return exchange->SyncWithStore(); });
  spawn([exchange = mOriginExchange] { return exchange->SendRecords(); });
  spawn([exchange = mOriginExchange] { return exchange->SyncWithStore(); });
  if (mFreshnessExchange) {
    spawn([exchange = mFreshnessExchange] { return exchange->Run(); });
  }
  if (mDutyExchange) {
    spawn([exchange = mDutyExchange] { return exchange->Run(); });
  }
  if (mDutyRunner && mSettings.duties.reportsUsage) {
    spawn([runner = mDutyRunner] { return runner->RunUsage(); });
  }
  if (mDutyRunner && mSettings.duties.ordersEngines) {
    spawn([runner = mDutyRunner] { return runner->RunEngineOrders(); });
  }
  if (mWorkReports && mDutyExchange) {
    mWorkReports->OnDutyReport(
      [exchange = mDutyExchange](std::string_view aDatagram) { exchange->Apply(aDatagram); });
  }
  if (mWorkReports && mFreshnessExchange) {
    mWorkReports->OnFreshnessMessage([exchange = mFreshnessExchange](std::string_view aDatagram) {
      return exchange->Apply(aDatagram);
    });
  }
  if (mWorkReports) {
    mWorkReports->OnCrashReport(
      [exchange = mQuarantineExchange](std::string_view aDatagram) { exchange->Apply(aDatagram); });
    mWorkReports->OnOriginReport(
      [exchange = mOriginExchange](std::string_view aDatagram) { exchange->Apply(aDatagram); });
    spawn([workReports = mWorkReports] { return workReports->Receive(); });
    spawn([workReports = mWorkReports] { return workReports->SendReports(); });
    spawn([workReports = mWorkReports] { return workReports->DiscoverPeers(); });
  }
  spawn([this] { return WaitForSignals(); });
  spawn([this] { return ReloadPeriodically(); });
}

void RelayDaemon::Run()
{
  mContext.run();
}

net::ServerLimits RelayDaemon::ToServerLimits(const dispatch::RequestLimits& aLimits) const
{
  net::ServerLimits limits;
  limits.headerBytes = aLimits.headerBytes;
  limits.bodyBytes = aLimits.bodyBytes;
  limits.headerTimeout = aLimits.headerTimeout;
  limits.idleTimeout = aLimits.idleTimeout;
  limits.connectionsPerSource = kConnectionsPerSource;
  limits.slowReaderTimeout = kSlowReaderTimeout;
  if (mSettings.memoryBytes > 0) {
    limits.intakeBytes = mSettings.memoryBytes / kIntakeDivisor;
  }
  if (mSettings.fileDescriptors > kDescriptorsForFiles) {
    limits.connections =
      (mSettings.fileDescriptors - kDescriptorsForFiles) * kCallerShareOfTen / 10;
  }
  return limits;
}

void RelayDaemon::OnIntakePressure(const net::IntakePressure& aPressure)
{
  const char* const result = aPressure.isGranted ? "granted" : "refused";
  mState->metrics.GetCounter({ "masticstep_intake_pressure_total", "result", result })->Add();
  const Time now = net::Now();
  if (now < mNextPressureLog) {
    return;
  }
  mNextPressureLog = now + kPressureLogInterval;
  telemetry::Log(Level::Warning, "requests use up their memory",
                 { { "wanted_bytes", static_cast<std::uint64_t>(aPressure.wanted) },
                   { "bytes_in_use", static_cast<std::uint64_t>(aPressure.inUse) },
                   { "bound_bytes", static_cast<std::uint64_t>(aPressure.bound) },
                   { "ended", static_cast<std::uint64_t>(aPressure.ended) },
                   { "granted", aPressure.isGranted } });
}

void RelayDaemon::ApplyLimits()
{
  mCallerServer->SetLimits(ToServerLimits(mState->table->Limits()));
}

bool RelayDaemon::IsReady() const
{
  return !mIsDraining && mState->table && mState->directory.IsLoaded();
}

void RelayDaemon::OnReload(std::function<void()> aReload)
{
  mReload = std::move(aReload);
}

void RelayDaemon::SetFeed(std::shared_ptr<PlatformFeed> aFeed)
{
  mWatcher->SetFeed(std::move(aFeed));
}

void RelayDaemon::SetRetryBounds(dispatch::RetryBounds aBounds)
{
  mState->retryBudget.SetBounds(aBounds);
}

void RelayDaemon::SetDutySettings(const DutySettings& aSettings)
{
  if (mDutyRunner && !aSettings.IsEmpty()) {
    mDutyRunner->SetSettings(aSettings);
  }
}

net::Task<void> RelayDaemon::WaitForSignals()
{
  mSignals.add(SIGTERM);
  mSignals.add(SIGINT);
  mSignals.add(SIGHUP);
  while (true) {
    const auto [ec, signal] = co_await mSignals.async_wait(asio::as_tuple(asio::use_awaitable));
    if (ec) {
      co_return;
    }
    if (signal != SIGHUP) {
      Drain();
    } else if (mReload) {
      telemetry::Log(Level::Info, "reloading settings", { { "cause", "SIGHUP" } });
      mReload();
    }
  }
}

net::Task<void> RelayDaemon::ReloadPeriodically()
{
  while (true) {
    co_await net::Sleep(kReloadInterval);
    if (mReload) {
      mReload();
    }
  }
}

void RelayDaemon::Drain()
{
  if (std::exchange(mIsDraining, true)) {
    return;
  }
  telemetry::Log(Level::Info, "shutdown begins",
                 { { "running", static_cast<std::uint64_t>(mState->sessions.size()) } });
  asio::co_spawn(
    mContext, [this] { return Shutdown(); }, asio::detached);
}

net::Task<void> RelayDaemon::Shutdown()
{
  const Time begin = net::Now();
  const dispatch::DrainSchedule schedule = dispatch::DrainSchedule::Create(begin, mSettings.grace);
  mState->drain = schedule;
  mCallerServer->CloseAfterAnswers();
  mStageController->Stop();
  co_await net::Sleep(schedule.ListenerEnd() - begin);
  mCallerServer->StopAccepting();
  for (Session* session : mState->sessions) {
    session->OnListenerEnd();
  }
  co_await WaitUntilIdle(schedule.FinalAnswers());
  for (Session* session : mState->sessions) {
    session->EndForShutdown();
  }
  mCallerServer->RefuseUnfinished();
  co_await WaitUntilIdle(schedule.Exit());
  LogShutdownEnd(begin);
  mContext.stop();
}

net::Task<void> RelayDaemon::WaitUntilIdle(Time aEnd)
{
  while ((!mState->sessions.empty() || mCallerServer->ConnectionCount() > 0) && net::Now() < aEnd) {
    co_await net::Sleep(kDrainCheckInterval);
  }
}

void RelayDaemon::LogShutdownEnd(Time aBegin) const
{
  for (const Session* session : mState->sessions) {
    session->LogCut();
  }
  const auto countOf = [this](const char* aResult) {
    return mState->metrics.GetCounter({ "masticstep_shutdown_requests_total", "result", aResult })
      ->Value();
  };
  const std::size_t connections = mCallerServer->ConnectionCount();
  const bool isClean = mState->sessions.empty() && connections == 0;
  telemetry::Log(isClean ? Level::Info : Level::Warning, "shutdown ends",
                 { { "refused", countOf("refused") },
                   { "ended", countOf("ended") },
                   { "streams_cut", countOf("stream_cut") },
                   { "cut", countOf("cut") },
                   { "open_connections", static_cast<std::uint64_t>(connections) },
                   { "milliseconds", ToSeconds(net::Now() - aBegin) * 1000.0 } });
}

} // namespace masticstep::relay
