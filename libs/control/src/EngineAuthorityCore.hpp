#pragma once

#include "masticstep/authority/EngineOrderStateMachine.hpp"
#include "masticstep/authority/LeaseManager.hpp"
#include "masticstep/control/EngineAuthority.hpp"
#include "masticstep/net/ConnectionPool.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace masticstep::control {

// Shared by the object and everything that runs for it, so that a late reply finds it alive.
class EngineAuthority::Core : public std::enable_shared_from_this<Core>
{
public:
  Core(net::Executor aExecutor, std::shared_ptr<platform::ObjectStore> aStore,
       AuthorityOptions aOptions, std::shared_ptr<const OrderCodec> aDialect);

  void Start();
  void Stop();
  void SetEngines(std::vector<EngineTarget> aEngines);
  bool IsHolder() const;
  void SendCommand(const EngineCommand& aCommand, Callback aCallback);
  void Release();

private:
  struct Engine
  {
    EngineTarget target;
    authority::EngineOrderStateMachine machine;
    Callback callback; // of the order in progress
  };
  using Request = std::optional<platform::PlatformRequest>;

  // Work that the lock must not cover.
  struct Effects
  {
    Request lease;
    std::vector<std::pair<EngineId, platform::PlatformRequest>> intents;
    std::vector<std::pair<EngineTarget, authority::OrderTransmission>> sends;
    std::vector<std::pair<Callback, CommandResult>> results;
    std::optional<Time> wakeUp;
  };

  void OnTime();
  void OnLeaseReply(const platform::PlatformReply& aReply);
  void OnIntentReply(const EngineId& aEngine, const platform::PlatformReply& aReply);
  void OnEngineReply(const EngineId& aEngine, std::uint64_t aNumber, authority::EngineReply aReply);
  // Collects what a machine asks for; the lock is held.
  void Collect(Engine& aEngine, authority::EngineOrderActions aActions, Effects& aEffects);
  // Sets the time of the next wake-up; the lock is held.
  void Schedule(Effects& aEffects);
  void CarryOut(Effects aEffects);
  void Send(const EngineTarget& aEngine, const authority::OrderTransmission& aSend);
  void Arm(Time aTime);

  net::Executor mExecutor;
  const std::shared_ptr<platform::ObjectStore> mStore;
  const AuthorityOptions mOptions;
  const std::shared_ptr<const OrderCodec> mDialect;
  const std::shared_ptr<net::ConnectionPool> mPool;
  mutable std::mutex mMutex; // guards the members below
  authority::LeaseManager mKeeper;
  std::map<EngineId, Engine> mEngines;
  std::uint64_t mOrders = 0; // number of order ids drawn by this process
  std::optional<Time> mArmedFor;
  bool mIsStopped = false;
};

} // namespace masticstep::control
