#include "masticstep/relay/RelayDaemon.hpp"

#include "AdminHandler.hpp"
#include "PlatformWatcher.hpp"
#include "QuarantineExchange.hpp"
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
// Interval between polls for the completion of an order, about the time that an engine needs for
// it.
constexpr Duration kOrderPollInterval = Milliseconds(3500);

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

net::ServerLimits ToServerLimits(const dispatch::RequestLimits& aLimits)
{
  net::ServerLimits limits;
  limits.headerBytes = aLimits.headerBytes;
  limits.bodyBytes = aLimits.bodyBytes;
  limits.headerTimeout = aLimits.headerTimeout;
  limits.idleTimeout = aLimits.idleTimeout;
  limits.connectionsPerSource = kConnectionsPerSource;
  limits.slowReaderTimeout = kSlowReaderTimeout;
  return limits;
}

} // namespace

RelayDaemon::RelayDaemon(RelaySettings aSettings, std::shared_ptr<const Dialect> aDialect)
  : mSettings(std::move(aSettings))
  , mContext(1)
  , mSignals(mContext)
  , mState(std::make_shared<RelayState>(mContext.get_executor(), std::move(aDialect),
                                        mSettings.place, RandomSeed()))
{
  mState->retryBudget.SetBounds(mSettings.retries);
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
  const WatchOptions watchOptions{ mSettings.maximumSilence, mSettings.watchPause, RandomSeed(),
                                   kElectionTime };
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
  const std::shared_ptr<control::EngineAuthority> authority =
    std::make_shared<control::EngineAuthority>(mContext.get_executor(), std::move(aAccess.store),
                                               std::move(options), std::move(aAccess.orders));
  StageOrderNames names{ std::move(aAccess.stageChangeOperation), std::move(aAccess.prefillStage),
                         std::move(aAccess.decodeStage) };
  mStageController = std::make_shared<StageController>(
    mState, authority, std::move(names), mSettings.stages, mSettings.enginesCheckFencing);
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
