#include "Fleet.hpp"

#include "common/TokenBucket.hpp"

#include <utility>

// How the faults of a plan are put into a fleet.
namespace masticstep::soak {

using standins::ProxyServer;

namespace {

constexpr std::int64_t kDelayMs = 150;
constexpr Duration kSlowStore = Milliseconds(700);
constexpr std::int64_t kLostAnswers = 3;
constexpr double kOften = 0.3;
// An entry without signs of life is removed after this time.
constexpr Duration kEntryLifetime = Milliseconds(3600);
// An engine that leaves serves a little longer than it must.
constexpr Duration kLeavingReserve = Seconds(3);
constexpr Duration kAddressReuse = Seconds(2);
// Entries that lapsed during an outage are back after this time at most.
constexpr std::int64_t kLongestReturnMs = 1600;
constexpr Duration kSettleTime = Milliseconds(200);

boost::json::object LinkFault(FaultKind aKind, std::uint64_t aChoice, Duration aSpan)
{
  switch (aKind) {
    case FaultKind::DelayCallers:
    case FaultKind::DelayStoreLink:
    case FaultKind::DelayEngineLink:
      return { { "delay_ms", kDelayMs } };
    case FaultKind::ResetCallers:
    case FaultKind::ResetStoreLink:
    case FaultKind::ResetEngineLink:
      // Open connections are cut; for longer spans no new ones are taken either.
      return { { "cut", true }, { "refuse", aSpan > Seconds(1) } };
    default:
      return { { "silence", aChoice % 3 == 0   ? "to_target"
                            : aChoice % 3 == 1 ? "to_client"
                                               : "both" },
               { "black_hole_open", aChoice % 2 == 0 } };
  }
}

boost::json::object NoLinkFault()
{
  return { { "delay_ms", 0 }, { "refuse", false }, { "silence", "none" } };
}

boost::json::object Gone()
{
  return { { "cut", true }, { "refuse", true } };
}

} // namespace

Awaitable<void> Fleet::PlayFault(PlannedFault aFault)
{
  co_await standins::Pause(aFault.at);
  if (aFault.kind <= FaultKind::StopDaemonsInTurn) {
    co_await PlayDaemonFault(aFault);
  } else if (aFault.kind <= FaultKind::SilenceEngineLink) {
    co_await PlayLinkFault(aFault);
  } else if (aFault.kind <= FaultKind::StoreForgetsHistory) {
    co_await PlayStoreFault(aFault);
  } else if (aFault.kind <= FaultKind::EngineLeaves) {
    co_await PlayEngineFault(aFault);
  } else {
    co_await PlayOperatorFault(aFault);
  }
}

Awaitable<void> Fleet::PlayDaemonFault(PlannedFault aFault)
{
  Daemon& daemon = DaemonOf(aFault);
  switch (aFault.kind) {
    case FaultKind::KillDaemon:
      daemon.Kill();
      break;
    case FaultKind::PauseDaemon:
      daemon.Pause();
      co_await standins::Pause(aFault.span);
      daemon.Continue();
      break;
    case FaultKind::StopDaemon:
      daemon.Stop(false);
      break;
    case FaultKind::ReloadDaemon:
      co_await PlayReload(aFault);
      break;
    case FaultKind::KillAllDaemons:
      for (const std::unique_ptr<Daemon>& each : mDaemons) {
        each->Kill();
      }
      break;
    default:
      co_await StopInTurn();
      break;
  }
}

Awaitable<void> Fleet::StopInTurn()
{
  for (const std::unique_ptr<Daemon>& daemon : mDaemons) {
    daemon->Stop(false);
    co_await standins::Pause(mBounds.grace / 2);
  }
}

// The way to the store that the settings named before ends after the bound of a configuration.
Awaitable<void> Fleet::PlayReload(PlannedFault aFault)
{
  Daemon& daemon = DaemonOf(aFault);
  ProxyServer& before = daemon.StoreLink();
  daemon.Reload(aFault.choice % 2 == 0);
  co_await standins::Pause(mBounds.configuration);
  if (&before != &daemon.StoreLink()) {
    before.ApplyFaults(Gone());
    co_await standins::Pause(aFault.span + mBounds.contact);
    before.ApplyFaults(NoLinkFault());
  }
}

Awaitable<void> Fleet::PlayLinkFault(PlannedFault aFault)
{
  const bool isOfEngine =
    aFault.kind >= FaultKind::DelayEngineLink && aFault.kind <= FaultKind::SilenceEngineLink;
  const bool isOfCallers =
    aFault.kind >= FaultKind::DelayCallers && aFault.kind <= FaultKind::SilenceCallers;
  Daemon& daemon = DaemonOf(aFault);
  ProxyServer& link = isOfEngine    ? *EngineOf(aFault).link
                      : isOfCallers ? daemon.Callers()
                                    : daemon.StoreLink();
  if (isOfEngine && EngineOf(aFault).isChanging) {
    co_return;
  }
  const std::size_t disturbance =
    mHistory.Disturb(isOfEngine ? Scope::Engine : Scope::Daemon, daemon.Number(), standins::Now());
  link.ApplyFaults(LinkFault(aFault.kind, aFault.choice, aFault.span));
  co_await standins::Pause(aFault.span);
  link.ApplyFaults(NoLinkFault());
  mHistory.EndDisturbance(disturbance, standins::Now());
}

Awaitable<void> Fleet::PlayStoreFault(PlannedFault aFault)
{
  StoreFaults& faults = mStore.Faults();
  const std::size_t disturbance = mHistory.Disturb(Scope::Store, 0, standins::Now());
  switch (aFault.kind) {
    case FaultKind::StoreOutage:
      faults.isDown = true;
      break;
    case FaultKind::StoreSilence:
      faults.isSilent = true;
      break;
    case FaultKind::StoreSlow:
      faults.latency = kSlowStore;
      break;
    case FaultKind::StoreLosesAnswers:
      faults.lostAnswers = kLostAnswers;
      break;
    default:
      mStore.ForgetHistory();
      break;
  }
  mStore.OnFaults();
  co_await standins::Pause(aFault.span);
  const bool wasAway = !mStore.IsReachable();
  faults = StoreFaults{};
  mStore.OnFaults();
  mHistory.EndDisturbance(disturbance, standins::Now());
  // Some entries lapsed meanwhile; their engines live and enter themselves again.
  for (const std::unique_ptr<EngineHost>& host : mEngines) {
    const bool hasLapsed = wasAway && mRoom.random() % 3 == 0;
    if (hasLapsed && !host->isChanging) {
      const std::int64_t pause = static_cast<std::int64_t>(mRoom.random() % kLongestReturnMs);
      Spawn(host->engine->EnterAgain(Milliseconds(pause)));
    }
  }
}

Awaitable<void> Fleet::PlayEngineFault(PlannedFault aFault)
{
  EngineHost& host = EngineOf(aFault);
  if (host.isChanging) {
    co_return;
  }
  EngineFaults& faults = host.engine->Faults();
  switch (aFault.kind) {
    case FaultKind::CrashEngine:
      co_await CrashEngine(host, aFault.span);
      co_return;
    case FaultKind::EngineLeaves:
      co_await RetireEngine(host, aFault.span);
      co_return;
    case FaultKind::FailingEngine:
      faults.fails = kOften;
      break;
    case FaultKind::EngineLosesAnswers:
      faults.losesAnswers = kOften;
      break;
    case FaultKind::EngineSendsGarbage:
      faults.sendsGarbage = kOften;
      break;
    case FaultKind::EngineRepeatsAnswers:
      faults.repeatsAnswers = kOften;
      break;
    case FaultKind::EngineCutsStreams:
      faults.cutsStreams = kOften;
      break;
    case FaultKind::DarkEngine:
      faults.isDark = true;
      break;
    default:
      faults.refuses = kOften;
      break;
  }
  const std::size_t disturbance = mHistory.Disturb(Scope::Engine, 0, standins::Now());
  co_await standins::Pause(aFault.span);
  faults = EngineFaults{};
  host.engine->OnFaults();
  mHistory.EndDisturbance(disturbance, standins::Now());
}

Awaitable<void> Fleet::CrashEngine(EngineHost& aHost, Duration aSpan)
{
  aHost.isChanging = true;
  co_await EndAndRestart(aHost, aSpan);
}

Awaitable<void> Fleet::RetireEngine(EngineHost& aHost, Duration aSpan)
{
  aHost.isChanging = true;
  co_await aHost.engine->Leave();
  co_await standins::Pause(mBounds.drain + kLeavingReserve);
  co_await EndAndRestart(aHost, aSpan);
}

Awaitable<void> Fleet::EndAndRestart(EngineHost& aHost, Duration aSpan)
{
  const std::size_t disturbance = mHistory.Disturb(Scope::Engine, 0, standins::Now());
  aHost.link->ApplyFaults(Gone());
  aHost.engine->Crash();
  co_await standins::Pause(std::min(aSpan, kEntryLifetime));
  aHost.engine->Forget();
  co_await standins::Pause(std::max(aSpan - kEntryLifetime, kAddressReuse));
  aHost.link->ApplyFaults(NoLinkFault());
  co_await aHost.engine->Start();
  co_await standins::Pause(kSettleTime);
  mHistory.EndDisturbance(disturbance, standins::Now());
  aHost.isChanging = false;
}

Awaitable<void> Fleet::PlayOperatorFault(PlannedFault aFault)
{
  switch (aFault.kind) {
    case FaultKind::MoveRoute:
      co_await mOperator.MoveLookups();
      break;
    case FaultKind::AddRoute:
      co_await mOperator.AddOrRemoveRoute();
      break;
    default:
      co_await mOperator.Storm();
      break;
  }
}

} // namespace masticstep::soak
