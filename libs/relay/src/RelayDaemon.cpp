#include "masticstep/relay/RelayDaemon.hpp"

#include "Followers.hpp"
#include "OperatorPages.hpp"
#include "StageControl.hpp"
#include "WorkSharing.hpp"
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
constexpr Duration kDrainCheck = Milliseconds(20);
// The balancer asks once a second and sends nothing more after two answers without success.
constexpr Duration kBalancerNotice = Milliseconds(2500);
// The process ends this long before the platform kills it.
constexpr Duration kGraceReserve = Milliseconds(300);
// The balancer connects from few addresses.
constexpr std::size_t kConnectionsPerSource = 4096;
constexpr Duration kSlowReader = Seconds(5);
// An engine is asked again whether an order was carried out after about the time that this takes.
constexpr Duration kOrderPoll = Milliseconds(3500);

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

net::ServerLimits ToServerLimits(const dispatch::CallerLimits& aLimits)
{
  net::ServerLimits limits;
  limits.headerBytes = aLimits.headerBytes;
  limits.bodyBytes = aLimits.bodyBytes;
  limits.header = aLimits.header;
  limits.idle = aLimits.idle;
  limits.connectionsPerSource = kConnectionsPerSource;
  limits.slowReader = kSlowReader;
  return limits;
}

} // namespace

RelayDaemon::RelayDaemon(RelaySettings aSettings, std::shared_ptr<const Dialect> aDialect)
  : mSettings(std::move(aSettings))
  , mContext(1)
  , mSignals(mContext)
  , mParts(std::make_shared<RelayParts>(mContext.get_executor(), std::move(aDialect),
                                        mSettings.place, RandomSeed()))
{
  mParts->retries.SetBounds(mSettings.retries);
}

RelayDaemon::~RelayDaemon()
{
  mParts->pool->Close();
}

Result<std::unique_ptr<RelayDaemon>, net::NetError> RelayDaemon::Create(
  RelaySettings aSettings, std::shared_ptr<const Dialect> aDialect, const AccessFactory& aAccess)
{
  std::unique_ptr<RelayDaemon> daemon(new RelayDaemon(std::move(aSettings), std::move(aDialect)));
  const Result<void, net::NetError> started = daemon->Start(aAccess);
  if (!started) {
    return Failure(started.error());
  }
  return daemon;
}

Result<void, net::NetError> RelayDaemon::Start(const AccessFactory& aAccess)
{
  Result<std::unique_ptr<net::HttpServer>, net::NetError> callers =
    net::HttpServer::Create(mContext, mSettings.callers, ToServerLimits(dispatch::CallerLimits{}),
                            std::make_shared<RelayHandler>(mParts));
  if (!callers) {
    return Failure(callers.error());
  }
  mCallers = std::move(*callers);
  const std::shared_ptr<OperatorPages> pages =
    std::make_shared<OperatorPages>(mParts, mSettings.readinessPath, [this] { return IsReady(); });
  Result<std::unique_ptr<net::HttpServer>, net::NetError> readiness =
    net::HttpServer::Create(mContext, mSettings.readiness, net::ServerLimits{}, pages);
  if (!readiness) {
    return Failure(readiness.error());
  }
  mReadiness = std::move(*readiness);
  if (mSettings.metrics) {
    Result<std::unique_ptr<net::HttpServer>, net::NetError> metrics =
      net::HttpServer::Create(mContext, *mSettings.metrics, net::ServerLimits{}, pages);
    if (!metrics) {
      return Failure(metrics.error());
    }
    mMetrics = std::move(*metrics);
  }
  PlatformAccess access = aAccess(mContext.get_executor());
  const FollowOptions follow{ mSettings.contact, mSettings.pace, RandomSeed() };
  mFollowers = std::make_shared<Followers>(mParts, access.feed, follow);
  mFollowers->OnTable([this] { ApplyLimits(); });
  mSharing = WorkSharing::Create(mParts, access.store, mSettings.host, mSettings.place.dataCentre,
                                 mSettings.sharing);
  StartStages(std::move(access));
  StartLoops();
  telemetry::Log(Level::Info, "daemon started",
                 { { "callers", net::ToString(mSettings.callers) },
                   { "data_centre", mSettings.place.dataCentre.Text() } });
  return {};
}

void RelayDaemon::StartStages(PlatformAccess aAccess)
{
  control::AuthorityOptions options;
  options.dataCentre = DataCentreName{ "all" };
  options.role = "stages";
  options.holder = mSettings.host;
  options.processNonce = HexText(RandomSeed());
  options.orderPollInterval = kOrderPoll;
  const std::shared_ptr<control::EngineAuthority> authority =
    std::make_shared<control::EngineAuthority>(mContext.get_executor(), std::move(aAccess.store),
                                               std::move(options), std::move(aAccess.orders));
  StageWords words{ std::move(aAccess.changeOperation), std::move(aAccess.readingStage),
                    std::move(aAccess.answeringStage) };
  mStages = std::make_shared<StageControl>(mParts, authority, std::move(words), mSettings.stages,
                                           mSettings.enginesCheckFencing);
}

void RelayDaemon::StartLoops()
{
  const auto spawn = [this](auto aFunction) {
    asio::co_spawn(mContext, std::move(aFunction), asio::detached);
  };
  spawn([followers = mFollowers] { return followers->FollowTable(); });
  spawn([followers = mFollowers] { return followers->FollowBackends(); });
  spawn([followers = mFollowers] { return followers->GuardTable(); });
  spawn([followers = mFollowers] { return followers->GuardBackends(); });
  spawn([followers = mFollowers] { return followers->ExpireBackends(); });
  spawn([stages = mStages] { return stages->Run(); });
  if (mSharing) {
    spawn([sharing = mSharing] { return sharing->Receive(); });
    spawn([sharing = mSharing] { return sharing->Report(); });
    spawn([sharing = mSharing] { return sharing->Discover(); });
  }
  spawn([this] { return WaitForSignals(); });
  spawn([this] { return ReloadNowAndThen(); });
}

void RelayDaemon::Run()
{
  mContext.run();
}

void RelayDaemon::ApplyLimits()
{
  mCallers->SetLimits(ToServerLimits(mParts->table->Limits()));
}

bool RelayDaemon::IsReady() const
{
  return !mIsDraining && mParts->table && mParts->directory.IsKnown();
}

void RelayDaemon::OnReload(std::function<void()> aReload)
{
  mReload = std::move(aReload);
}

void RelayDaemon::SetFeed(std::shared_ptr<PlatformFeed> aFeed)
{
  mFollowers->SetFeed(std::move(aFeed));
}

void RelayDaemon::SetRetryBounds(dispatch::RetryBounds aBounds)
{
  mParts->retries.SetBounds(aBounds);
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
      telemetry::Log(Level::Info, "settings are read again", { { "cause", "SIGHUP" } });
      mReload();
    }
  }
}

net::Task<void> RelayDaemon::ReloadNowAndThen()
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
                 { { "running", static_cast<std::uint64_t>(mParts->running) } });
  asio::co_spawn(
    mContext, [this] { return Shutdown(); }, asio::detached);
}

net::Task<void> RelayDaemon::Shutdown()
{
  const Time begin = net::Now();
  const Time end = begin + std::max(mSettings.grace - kGraceReserve, Duration::zero());
  mCallers->CloseAfterAnswers();
  mStages->Stop();
  co_await net::Sleep(std::min(kBalancerNotice, mSettings.grace / 2));
  mCallers->StopAccepting();
  while ((mParts->running > 0 || mCallers->ConnectionCount() > 0) && net::Now() < end) {
    co_await net::Sleep(kDrainCheck);
  }
  telemetry::Log(mParts->running == 0 ? Level::Info : Level::Warning, "shutdown ends",
                 { { "cut", static_cast<std::uint64_t>(mParts->running) } });
  mContext.stop();
}

} // namespace masticstep::relay
