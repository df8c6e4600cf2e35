#pragma once

#include "Workload.hpp"
#include "masticstep/roles/RolePlanner.hpp"

#include <functional>
#include <memory>

namespace masticstep::bench {

// Plans the roles of one data centre of the simulation.
class RoleController
{
public:
  virtual ~RoleController() = default;

  virtual void OnWorkload(const roles::WorkloadSample& aSample, Time aNow) = 0;
  virtual void OnEngineStatus(const roles::EngineStatus& aStatus, Time aTaken) = 0;
  virtual void OnRoleChanged(const EngineId& aEngine, roles::Role aRole, Time aNow) = 0;
  virtual void OnChangeFailed(const EngineId& aEngine, Time aNow) = 0;
  virtual std::vector<roles::RoleAction> Plan(Time aNow) = 0;
};

enum class ControllerKind : std::uint8_t
{
  Planner,
  None,
  Greedy,
  Schedule // clairvoyant: prefill engines wanted at a time, from the known future
};

using RoleSchedule = std::function<double(double)>;

std::unique_ptr<RoleController> MakeController(ControllerKind aKind,
                                               const Installation& aInstallation,
                                               const RoleSchedule& aSchedule);

} // namespace masticstep::bench
