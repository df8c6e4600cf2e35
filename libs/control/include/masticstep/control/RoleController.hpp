#pragma once

#include "masticstep/control/EngineAuthority.hpp"
#include "masticstep/roles/RolePlanner.hpp"

#include <memory>
#include <mutex>

namespace masticstep::control {

// Takes engines out of service before their role changes. Implemented by the daemon, which spreads
// drains among its peers.
class EngineDrainer
{
public:
  virtual ~EngineDrainer() = default;

  // No new work for the engine; what runs finishes.
  virtual void Drain(const EngineId& aEngine) = 0;
  // The engine takes work again.
  virtual void Resume(const EngineId& aEngine) = 0;
};

// Carries out the role planner's actions for one service in one data centre while this process
// holds the lease. Feed it on every process, so that a successor knows the mix: OnWorkload about
// once a second, OnEngineStatus with each load report, and Tick about once a second. Safe to use
// from every thread.
class RoleController : public std::enable_shared_from_this<RoleController>
{
public:
  RoleController(std::shared_ptr<EngineAuthority> aAuthority,
                 std::shared_ptr<EngineDrainer> aDrains, roles::RolePolicy aPolicy);

  void SetPolicy(const roles::RolePolicy& aPolicy);
  void OnWorkload(const roles::WorkloadSample& aSample, Time aNow);
  void OnEngineStatus(const roles::EngineStatus& aStatus, Time aTaken);
  void OnEngineRemoved(const EngineId& aEngine);
  void Tick(Time aNow);

private:
  void SetRole(const roles::RoleAction& aAction);
  void OnResult(const roles::RoleAction& aAction, CommandResult aResult);

  const std::shared_ptr<EngineAuthority> mAuthority;
  const std::shared_ptr<EngineDrainer> mDrains;
  std::mutex mMutex; // guards mPlanner
  roles::RolePlanner mPlanner;
};

} // namespace masticstep::control
