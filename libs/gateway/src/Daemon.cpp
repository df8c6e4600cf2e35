#include "Daemon.hpp"

#include "AdminHandler.hpp"
#include "CallerHandler.hpp"
#include "LoadPoller.hpp"
#include "PlatformWatcher.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <csignal>
#include <random>
#include <utility>

namespace masticstep::gateway {

namespace asio = boost::asio;
using telemetry::Level;

namespace {

constexpr Duration kDrainCheckInterval = Milliseconds(20);
// Time before the shutdown bound in which streams that still run get their error event.
constexpr Duration kCutReserve = Seconds(1);

std::uint64_t StartNonce()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

net::HostPort AddressOf(const SocketAddress& aAddress)
{
  return { aAddress.ip, aAddress.port };
}

net::ServerLimits LimitsOf(const ConnectionLimits& aLimits)
{
  return { aLimits.headerBytes, aLimits.bodyBytes, aLimits.idle, aLimits.connectionsPerSource,
           aLimits.slowReader };
}

Result<std::shared_ptr<net::TlsContext>, net::NetError> CallerTls(const Settings& aSettings)
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
  : mParts(std::make_shared<GatewayParts>(aSettings, StartNonce()))
  , mWorkers(aSettings.workers)
  , mSignals(mWorkers.Context())
{
}

Daemon::~Daemon()
{
  mWorkers.Stop();
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
  const Result<std::shared_ptr<net::TlsContext>, net::NetError> tls = CallerTls(settings);
  if (!tls) {
    return Failure(tls.error());
  }
  Result<std::unique_ptr<net::HttpServer>, net::NetError> callers = net::HttpServer::Create(
    mWorkers.Context(), AddressOf(settings.callerAddress), LimitsOf(settings.limits),
    std::make_shared<CallerHandler>(mParts), *tls);
  if (!callers) {
    return Failure(callers.error());
  }
  mCallers = std::move(*callers);
  Result<std::unique_ptr<net::HttpServer>, net::NetError> admin = net::HttpServer::Create(
    mWorkers.Context(), AddressOf(settings.adminAddress), LimitsOf(settings.limits),
    std::make_shared<AdminHandler>(mParts, [this] { Drain(); }));
  if (!admin) {
    return Failure(admin.error());
  }
  mAdmin = std::move(*admin);
  mWatcher = std::make_shared<PlatformWatcher>(mParts);
  asio::co_spawn(
    asio::make_strand(mWorkers.Context()), [watcher = mWatcher] { return watcher->Run(); },
    asio::detached);
  asio::co_spawn(
    asio::make_strand(mWorkers.Context()), [parts = mParts] { return PollLoads(parts); },
    asio::detached);
  asio::co_spawn(
    asio::make_strand(mWorkers.Context()), [parts = mParts] { return PumpAdmission(parts); },
    asio::detached);
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
  const Time begin = net::Now();
  const Time cut = begin + std::max(mParts->settings.shutdown - kCutReserve, Duration::zero());
  const Time end = begin + mParts->settings.shutdown;
  mCallers->CloseAfterAnswers();
  co_await net::Sleep(std::min(mParts->settings.balancerNotice, mParts->settings.shutdown));
  mParts->drain.Advance(DrainPhase::Stopping);
  mCallers->StopAccepting();
  mWatcher->Stop();
  while (mParts->running.Count() > 0 && net::Now() < cut) {
    co_await net::Sleep(kDrainCheckInterval);
  }
  const std::size_t unfinished = mParts->running.Count();
  mParts->running.CancelAll();
  while ((mParts->running.Count() > 0 || mCallers->ConnectionCount() > 0) && net::Now() < end) {
    co_await net::Sleep(kDrainCheckInterval);
  }
  telemetry::Log(unfinished == 0 ? Level::Info : Level::Warning, "shutdown ends",
                 { { "cut", unfinished } });
  mStopped.set_value();
}

} // namespace masticstep::gateway
