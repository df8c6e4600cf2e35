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
                            AuthorityOptions aOptions, std::shared_ptr<const OrderCodec> aCodec)
  : mExecutor(std::move(aExecutor))
  , mStore(std::move(aStore))
  , mOptions(std::move(aOptions))
  , mCodec(aCodec ? std::move(aCodec) : std::make_shared<const HttpOrderCodec>())
  , mPool(net::ConnectionPool::Create())
  , mLeaseManager({ authority::LeaseKey(mOptions.dataCentre, mOptions.role), mOptions.holder,
                    mOptions.processNonce, mOptions.lease, mOptions.mayHavePredecessor,
                    mOptions.pauseAfterRelease })
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
    const bool isListed =
      std::any_of(aEngines.begin(), aEngines.end(),
                  [&aItem](const EngineTarget& aTarget) { return aTarget.engine == aItem.first; });
    return !isListed && aItem.second.machine.IsIdle();
  });
  for (EngineTarget& target : aEngines) {
    const authority::EngineOptions options{ target.engine, target.refusesOldFencing,
                                            mOptions.processNonce, mOptions.orderTimeout,
                                            mOptions.orderPollInterval };
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
  return !mIsStopped && authority::IsLeaseValid(mLeaseManager.Status(), net::Now());
}

authority::LeaseStatus EngineAuthority::Core::Lease() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mIsStopped ? authority::LeaseStatus{} : mLeaseManager.Status();
}

std::optional<HostName> EngineAuthority::Core::KnownHolder() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mLeaseManager.KnownHolder();
}

void EngineAuthority::Core::SendCommand(const EngineCommand& aCommand, Callback aCallback)
{
  DeferredActions deferred;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const Time now = net::Now();
    const std::map<EngineId, Engine>::iterator it = mEngines.find(aCommand.engine);
    if (it == mEngines.end()) {
      deferred.results.emplace_back(std::move(aCallback), CommandResult::UnknownEngine);
    } else if (mIsStopped || !authority::IsLeaseValid(mLeaseManager.Status(), now)) {
      deferred.results.emplace_back(std::move(aCallback), CommandResult::NotHolder);
    } else if (!it->second.machine.IsIdle()) {
      deferred.results.emplace_back(std::move(aCallback), CommandResult::Busy);
    } else {
      const std::string id = mOptions.processNonce + "-" + std::to_string(++mOrderCount);
      it->second.callback = std::move(aCallback);
      AddActions(it->second,
                 it->second.machine.Start({ id, aCommand.kind, aCommand.argument },
                                          mLeaseManager.Status(), now),
                 deferred);
    }
    ScheduleWakeUp(deferred);
  }
  RunDeferred(std::move(deferred));
}

void EngineAuthority::Core::Release()
{
  DeferredActions deferred;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    deferred.lease = mLeaseManager.Release(net::Now());
  }
  RunDeferred(std::move(deferred));
}

void EngineAuthority::Core::OnTime()
{
  DeferredActions deferred;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const Time now = net::Now();
    if (mTimerExpiry && *mTimerExpiry <= now) {
      mTimerExpiry.reset();
    }
    deferred.lease = mLeaseManager.OnTime(now);
    for (std::map<EngineId, Engine>::value_type& item : mEngines) {
      AddActions(item.second, item.second.machine.OnTime(mLeaseManager.Status(), now), deferred);
    }
    ScheduleWakeUp(deferred);
  }
  RunDeferred(std::move(deferred));
}

void EngineAuthority::Core::OnLeaseReply(const PlatformReply& aReply)
{
  DeferredActions deferred;
  bool gained = false;
  std::uint64_t fencing = 0;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const std::uint64_t before = mLeaseManager.Status().fencing;
    deferred.lease = mLeaseManager.OnPlatformReply(aReply, net::Now());
    fencing = mLeaseManager.Status().fencing;
    gained = fencing != before;
    ScheduleWakeUp(deferred);
  }
  if (gained) {
    telemetry::Log(telemetry::Level::Info, "lease_gained",
                   { { "role", mOptions.role }, { "fencing", fencing } });
  }
  RunDeferred(std::move(deferred));
}

void EngineAuthority::Core::OnIntentReply(const EngineId& aEngine, const PlatformReply& aReply)
{
  DeferredActions deferred;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const std::map<EngineId, Engine>::iterator it = mEngines.find(aEngine);
    if (it != mEngines.end()) {
      AddActions(it->second,
                 it->second.machine.OnPlatformReply(aReply, mLeaseManager.Status(), net::Now()),
                 deferred);
    }
    ScheduleWakeUp(deferred);
  }
  RunDeferred(std::move(deferred));
}

void EngineAuthority::Core::OnEngineReply(const EngineId& aEngine, std::uint64_t aNumber,
                                          EngineReply aReply)
{
  DeferredActions deferred;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const std::map<EngineId, Engine>::iterator it = mEngines.find(aEngine);
    if (it != mEngines.end()) {
      AddActions(
        it->second,
        it->second.machine.OnEngineReply(aNumber, aReply, mLeaseManager.Status(), net::Now()),
        deferred);
    }
    ScheduleWakeUp(deferred);
  }
  RunDeferred(std::move(deferred));
}

void EngineAuthority::Core::AddActions(Engine& aEngine, EngineOrderActions aActions,
                                       DeferredActions& aDeferred)
{
  if (aActions.request) {
    aDeferred.intents.emplace_back(aEngine.target.engine, std::move(*aActions.request));
  }
  if (aActions.send) {
    aDeferred.sends.emplace_back(aEngine.target, std::move(*aActions.send));
  }
  if (aActions.result) {
    const bool done = *aActions.result == EngineOrderResult::Done;
    aDeferred.results.emplace_back(std::exchange(aEngine.callback, nullptr),
                                   done ? CommandResult::Done : CommandResult::LeaseLost);
  }
}

void EngineAuthority::Core::ScheduleWakeUp(DeferredActions& aDeferred)
{
  std::optional<Time> next = mLeaseManager.NextWakeUp();
  for (const std::map<EngineId, Engine>::value_type& item : mEngines) {
    const std::optional<Time> time = item.second.machine.NextWakeUp();
    next = time && (!next || *time < *next) ? time : next;
  }
  // A timer that expires earlier schedules the next one itself.
  if (next && !mIsStopped && (!mTimerExpiry || *next < *mTimerExpiry)) {
    mTimerExpiry = next;
    aDeferred.wakeUp = next;
  }
}

void EngineAuthority::Core::RunDeferred(DeferredActions aDeferred)
{
  if (aDeferred.wakeUp) {
    StartTimer(*aDeferred.wakeUp);
  }
  if (aDeferred.lease) {
    mStore->Submit(
      std::move(*aDeferred.lease),
      [self = shared_from_this()](const PlatformReply& aReply) { self->OnLeaseReply(aReply); });
  }
  for (std::pair<EngineId, platform::PlatformRequest>& item : aDeferred.intents) {
    mStore->Submit(std::move(item.second),
                   [self = shared_from_this(), engine = item.first](const PlatformReply& aReply) {
                     self->OnIntentReply(engine, aReply);
                   });
  }
  for (const std::pair<EngineTarget, authority::OrderTransmission>& item : aDeferred.sends) {
    Send(item.first, item.second);
  }
  for (std::pair<Callback, CommandResult>& item : aDeferred.results) {
    if (item.first) {
      item.first(item.second);
    }
  }
}

void EngineAuthority::Core::Send(const EngineTarget& aEngine,
                                 const authority::OrderTransmission& aTransmission)
{
  const SendPredicate maySend = [self = shared_from_this(), fencing = aTransmission.fencing] {
    const std::lock_guard<std::mutex> lock(self->mMutex);
    const authority::LeaseStatus status = self->mLeaseManager.Status();
    return !self->mIsStopped && status.fencing == fencing &&
           authority::IsLeaseValid(status, net::Now());
  };
  boost::asio::co_spawn(
    boost::asio::make_strand(mExecutor), SendOrder(mPool, mCodec, aEngine, aTransmission, maySend),
    [self = shared_from_this(), engine = aEngine.engine,
     number = aTransmission.number](const std::exception_ptr& aError, EngineReply aReply) {
      self->OnEngineReply(engine, number, aError ? EngineReply::Unknown : aReply);
    });
}

void EngineAuthority::Core::StartTimer(Time aTime)
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
