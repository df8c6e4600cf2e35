#include "EngineAuthorityCore.hpp"

#include "OrderSender.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>

namespace masticstep::control {

using authority::EngineOrderActions;
using authority::EngineOrderResult;
using authority::EngineReply;
using platform::PlatformReply;

EngineAuthority::Core::Core(net::Executor aExecutor, std::shared_ptr<platform::ObjectStore> aStore,
                            AuthorityOptions aOptions, std::shared_ptr<const OrderCodec> aDialect)
  : mExecutor(std::move(aExecutor))
  , mStore(std::move(aStore))
  , mOptions(std::move(aOptions))
  , mDialect(aDialect ? std::move(aDialect) : std::make_shared<const HttpOrderCodec>())
  , mPool(net::ConnectionPool::Create())
  , mKeeper({ authority::LeaseKey(mOptions.dataCentre, mOptions.role), mOptions.holder,
              mOptions.processNonce, mOptions.lease })
{
}

void EngineAuthority::Core::Start()
{
  OnTime();
}

void EngineAuthority::Core::Stop()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mIsStopped = true;
}

void EngineAuthority::Core::SetEngines(std::vector<EngineTarget> aEngines)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::erase_if(mEngines, [&aEngines](const std::pair<const EngineId, Engine>& aItem) {
    const bool listed =
      std::any_of(aEngines.begin(), aEngines.end(),
                  [&aItem](const EngineTarget& aTarget) { return aTarget.engine == aItem.first; });
    return !listed && aItem.second.machine.IsIdle();
  });
  for (EngineTarget& target : aEngines) {
    const authority::EngineOptions options{ target.engine, target.refusesOldFencing,
                                            mOptions.processNonce, mOptions.orderTimeout,
                                            mOptions.orderPoll };
    const std::map<EngineId, Engine>::iterator it =
      mEngines
        .try_emplace(target.engine, Engine{ {}, authority::EngineOrderStateMachine(options), {} })
        .first;
    it->second.machine.SetRefusesOldFencing(target.refusesOldFencing);
    it->second.target = std::move(target);
  }
}

bool EngineAuthority::Core::IsHolder() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return !mIsStopped && authority::IsLeaseValid(mKeeper.Status(), net::Now());
}

void EngineAuthority::Core::SendCommand(const EngineCommand& aCommand, Callback aCallback)
{
  Effects effects;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const Time now = net::Now();
    const std::map<EngineId, Engine>::iterator it = mEngines.find(aCommand.engine);
    if (it == mEngines.end()) {
      effects.results.emplace_back(std::move(aCallback), CommandResult::UnknownEngine);
    } else if (mIsStopped || !authority::IsLeaseValid(mKeeper.Status(), now)) {
      effects.results.emplace_back(std::move(aCallback), CommandResult::NotHolder);
    } else if (!it->second.machine.IsIdle()) {
      effects.results.emplace_back(std::move(aCallback), CommandResult::Busy);
    } else {
      const std::string id = mOptions.processNonce + "-" + std::to_string(++mOrders);
      it->second.callback = std::move(aCallback);
      Collect(
        it->second,
        it->second.machine.Start({ id, aCommand.kind, aCommand.argument }, mKeeper.Status(), now),
        effects);
    }
    Schedule(effects);
  }
  CarryOut(std::move(effects));
}

void EngineAuthority::Core::Release()
{
  Effects effects;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    effects.lease = mKeeper.Release(net::Now());
  }
  CarryOut(std::move(effects));
}

void EngineAuthority::Core::OnTime()
{
  Effects effects;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const Time now = net::Now();
    if (mArmedFor && *mArmedFor <= now) {
      mArmedFor.reset();
    }
    effects.lease = mKeeper.OnTime(now);
    for (std::map<EngineId, Engine>::value_type& item : mEngines) {
      Collect(item.second, item.second.machine.OnTime(mKeeper.Status(), now), effects);
    }
    Schedule(effects);
  }
  CarryOut(std::move(effects));
}

void EngineAuthority::Core::OnLeaseReply(const PlatformReply& aReply)
{
  Effects effects;
  bool gained = false;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const std::uint64_t before = mKeeper.Status().fencing;
    effects.lease = mKeeper.OnPlatformReply(aReply, net::Now());
    gained = mKeeper.Status().fencing != before;
    Schedule(effects);
  }
  if (gained) {
    telemetry::Log(telemetry::Level::Info, "lease_gained", { { "role", mOptions.role } });
  }
  CarryOut(std::move(effects));
}

void EngineAuthority::Core::OnIntentReply(const EngineId& aEngine, const PlatformReply& aReply)
{
  Effects effects;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const std::map<EngineId, Engine>::iterator it = mEngines.find(aEngine);
    if (it != mEngines.end()) {
      Collect(it->second, it->second.machine.OnPlatformReply(aReply, mKeeper.Status(), net::Now()),
              effects);
    }
    Schedule(effects);
  }
  CarryOut(std::move(effects));
}

void EngineAuthority::Core::OnEngineReply(const EngineId& aEngine, std::uint64_t aNumber,
                                          EngineReply aReply)
{
  Effects effects;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const std::map<EngineId, Engine>::iterator it = mEngines.find(aEngine);
    if (it != mEngines.end()) {
      Collect(it->second,
              it->second.machine.OnEngineReply(aNumber, aReply, mKeeper.Status(), net::Now()),
              effects);
    }
    Schedule(effects);
  }
  CarryOut(std::move(effects));
}

void EngineAuthority::Core::Collect(Engine& aEngine, EngineOrderActions aActions, Effects& aEffects)
{
  if (aActions.request) {
    aEffects.intents.emplace_back(aEngine.target.engine, std::move(*aActions.request));
  }
  if (aActions.send) {
    aEffects.sends.emplace_back(aEngine.target, std::move(*aActions.send));
  }
  if (aActions.result) {
    const bool done = *aActions.result == EngineOrderResult::Done;
    aEffects.results.emplace_back(std::exchange(aEngine.callback, nullptr),
                                  done ? CommandResult::Done : CommandResult::LeaseLost);
  }
}

void EngineAuthority::Core::Schedule(Effects& aEffects)
{
  std::optional<Time> next = mKeeper.NextWakeUp();
  for (const std::map<EngineId, Engine>::value_type& item : mEngines) {
    const std::optional<Time> time = item.second.machine.NextWakeUp();
    next = time && (!next || *time < *next) ? time : next;
  }
  // A timer that is already set for an earlier time sets the next one itself.
  if (next && !mIsStopped && (!mArmedFor || *next < *mArmedFor)) {
    mArmedFor = next;
    aEffects.wakeUp = next;
  }
}

void EngineAuthority::Core::CarryOut(Effects aEffects)
{
  if (aEffects.wakeUp) {
    Arm(*aEffects.wakeUp);
  }
  if (aEffects.lease) {
    mStore->Submit(
      std::move(*aEffects.lease),
      [self = shared_from_this()](const PlatformReply& aReply) { self->OnLeaseReply(aReply); });
  }
  for (std::pair<EngineId, platform::PlatformRequest>& item : aEffects.intents) {
    mStore->Submit(std::move(item.second),
                   [self = shared_from_this(), engine = item.first](const PlatformReply& aReply) {
                     self->OnIntentReply(engine, aReply);
                   });
  }
  for (const std::pair<EngineTarget, authority::OrderTransmission>& item : aEffects.sends) {
    Send(item.first, item.second);
  }
  for (std::pair<Callback, CommandResult>& item : aEffects.results) {
    if (item.first) {
      item.first(item.second);
    }
  }
}

void EngineAuthority::Core::Send(const EngineTarget& aEngine,
                                 const authority::OrderTransmission& aSend)
{
  const MaySend maySend = [self = shared_from_this(), fencing = aSend.fencing] {
    const std::lock_guard<std::mutex> lock(self->mMutex);
    const authority::LeaseStatus view = self->mKeeper.Status();
    return !self->mIsStopped && view.fencing == fencing &&
           authority::IsLeaseValid(view, net::Now());
  };
  boost::asio::co_spawn(
    boost::asio::make_strand(mExecutor), SendOrder(mPool, mDialect, aEngine, aSend, maySend),
    [self = shared_from_this(), engine = aEngine.engine,
     number = aSend.number](const std::exception_ptr& aError, EngineReply aReply) {
      self->OnEngineReply(engine, number, aError ? EngineReply::Unknown : aReply);
    });
}

void EngineAuthority::Core::Arm(Time aTime)
{
  const auto wait = [](std::shared_ptr<Core> aSelf, Time aUntil) -> net::Task<void> {
    const Duration span = std::max(aUntil - net::Now(), Duration::zero());
    co_await net::Sleep(span);
    aSelf->OnTime();
  };
  boost::asio::co_spawn(boost::asio::make_strand(mExecutor), wait(shared_from_this(), aTime),
                        boost::asio::detached);
}

} // namespace masticstep::control
