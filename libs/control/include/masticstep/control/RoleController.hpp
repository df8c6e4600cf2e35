#pragma once

#include "masticstep/control/EngineAuthority.hpp"
#include "masticstep/roles/RolePlanner.hpp"

#include <memory>
#include <mutex>

namespace masticstep::control {

// Takes engines out of service for a role change. Implemented by the daemon, which replicates
// drains to its peers.
class EngineDrainer
{
public:
  virtual ~EngineDrainer() = default;

  // Stops new requests to the engine; running requests finish.
  virtual void Drain(const EngineId& aEngine) = 0;
  // Lets the engine accept requests again.
  virtual void Resume(const EngineId& aEngine) = 0;
};

// Carries out the role planner's actions for one service in one data centre while this process
// holds the lease. Call it in processes without the lease as well, so that the next holder already
// has a workload forecast: OnWorkload and Tick about once a second, OnEngineStatus with each load
// report. Thread-safe.
class RoleController : public std::enable_shared_from_this<RoleController>
{
public:
  RoleController(std::shared_ptr<EngineAuthority> aAuthority,
                 std::shared_ptr<EngineDrainer> aDrainer, roles::RolePolicy aPolicy);

  void SetPolicy(const roles::RolePolicy& aPolicy);
  void OnWorkload(const roles::WorkloadSample& aSample, Time aNow);
  void OnEngineStatus(const roles::EngineStatus& aStatus, Time aTaken);
  void OnEngineRemoved(const EngineId& aEngine);
  void Tick(Time aNow);

private:
  void SetRole(const roles::RoleAction& aAction);
  void OnResult(const roles::RoleAction& aAction, CommandResult aResult);

  const std::shared_ptr<EngineAuthority> mAuthority;
  const std::shared_ptr<EngineDrainer> mDrainer;
  std::mutex mMutex; // guards mPlanner
  roles::RolePlanner mPlanner;
};

} // namespace masticstep::control
