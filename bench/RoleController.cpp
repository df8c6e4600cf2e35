#include "RoleController.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace masticstep::bench {

namespace {

using roles::Role;
using roles::RoleAction;
using roles::RoleActionKind;

class PlannerController : public RoleController
{
public:
  explicit PlannerController(const roles::RolePolicy& aPolicy)
    : mPlanner(aPolicy)
  {
  }

  void OnWorkload(const roles::WorkloadSample& aSample, Time aNow) override
  {
    mPlanner.OnWorkload(aSample, aNow);
  }
  void OnEngineStatus(const roles::EngineStatus& aStatus, Time aTaken) override
  {
    mPlanner.OnEngineStatus(aStatus, aTaken);
  }
  void OnRoleChanged(const EngineId& aEngine, Role aRole, Time aNow) override
  {
    mPlanner.OnRoleChanged(aEngine, aRole, aNow);
  }
  void OnChangeFailed(const EngineId& aEngine, Time aNow) override
  {
    mPlanner.OnChangeFailed(aEngine, aNow);
  }
  std::vector<RoleAction> Plan(Time aNow) override { return mPlanner.Plan(aNow); }

private:
  roles::RolePlanner mPlanner;
};

class NoController : public RoleController
{
public:
  void OnWorkload(const roles::WorkloadSample&, Time) override {}
  void OnEngineStatus(const roles::EngineStatus&, Time) override {}
  void OnRoleChanged(const EngineId&, Role, Time) override {}
  void OnChangeFailed(const EngineId&, Time) override {}
  std::vector<RoleAction> Plan(Time) override { return {}; }
};

// Moves the number of prefill engines to a target as fast as drains allow.
class TargetController : public RoleController
{
public:
  explicit TargetController(RoleSchedule aSchedule)
    : mSchedule(std::move(aSchedule))
  {
  }

  void OnWorkload(const roles::WorkloadSample& aSample, Time) override
  {
    const double sum = aSample.promptWork + aSample.outputWork;
    mShare = sum > 0.0 ? aSample.promptWork / sum : mShare;
  }
  void OnEngineStatus(const roles::EngineStatus& aStatus, Time aTaken) override
  {
    EngineState& engine = mEngines[aStatus.engine];
    if (aTaken > engine.changed) {
      engine.requests = aStatus.requests;
    }
    if (!engine.isChanging) {
      engine.role = aStatus.role;
    }
  }
  void OnRoleChanged(const EngineId& aEngine, Role aRole, Time aNow) override
  {
    mEngines[aEngine] = { aRole, false, false, 0, aNow };
  }
  void OnChangeFailed(const EngineId& aEngine, Time aNow) override
  {
    const Role target = mEngines[aEngine].role;
    mEngines[aEngine] = { target == Role::Prefill ? Role::Decode : Role::Prefill, false, false, 0,
                          aNow };
  }
  std::vector<RoleAction> Plan(Time aNow) override
  {
    std::vector<RoleAction> actions;
    for (std::pair<const EngineId, EngineState>& item : mEngines) {
      EngineState& engine = item.second;
      if (engine.isChanging && !engine.isOrdered && engine.requests == 0) {
        engine.isOrdered = true;
        actions.push_back({ RoleActionKind::SetRole, item.first, engine.role });
      }
    }
    const double wanted = mSchedule ? mSchedule(ToSeconds(aNow - Time{}))
                                    : mShare * static_cast<double>(mEngines.size());
    const long target = std::clamp(std::lround(wanted), 1L, static_cast<long>(mEngines.size()) - 1);
    long prefill = std::count_if(mEngines.begin(), mEngines.end(),
                                 [](const std::pair<const EngineId, EngineState>& aItem) {
                                   return aItem.second.role == Role::Prefill;
                                 });
    while (prefill != target) {
      const Role to = prefill < target ? Role::Prefill : Role::Decode;
      const std::optional<EngineId> engine = Emptiest(to);
      if (!engine) {
        break;
      }
      mEngines[*engine] = { to, true, false, 1, aNow };
      actions.push_back({ RoleActionKind::Drain, *engine, to });
      prefill += to == Role::Prefill ? 1 : -1;
    }
    return actions;
  }

private:
  struct EngineState
  {
    Role role = Role::Decode;
    bool isChanging = false;
    bool isOrdered = false;
    std::uint32_t requests = 0;
    Time changed{};
  };

  std::optional<EngineId> Emptiest(Role aTo) const
  {
    std::optional<EngineId> found;
    std::uint32_t fewest = 0;
    for (const std::pair<const EngineId, EngineState>& item : mEngines) {
      const EngineState& engine = item.second;
      if (engine.isChanging || engine.role == aTo || (found && engine.requests >= fewest)) {
        continue;
      }
      found = item.first;
      fewest = engine.requests;
    }
    return found;
  }

  RoleSchedule mSchedule;
  double mShare = 0.3;
  std::map<EngineId, EngineState> mEngines;
};

} // namespace

std::unique_ptr<RoleController> MakeController(ControllerKind aKind,
                                               const Installation& aInstallation,
                                               const RoleSchedule& aSchedule)
{
  switch (aKind) {
    case ControllerKind::Planner: {
      roles::RolePolicy policy;
      policy.changeCost = aInstallation.changeCost;
      return std::make_unique<PlannerController>(policy);
    }
    case ControllerKind::Greedy:
      return std::make_unique<TargetController>(nullptr);
    case ControllerKind::Schedule:
      return std::make_unique<TargetController>(aSchedule);
    case ControllerKind::None:
      break;
  }
  return std::make_unique<NoController>();
}

} // namespace masticstep::bench
