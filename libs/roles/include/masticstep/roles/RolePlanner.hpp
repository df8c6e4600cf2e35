#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/roles/EngineStatus.hpp"
#include "masticstep/roles/MixForecast.hpp"
#include "masticstep/roles/RoleAction.hpp"
#include "masticstep/roles/RolePolicy.hpp"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace masticstep::roles {

// Plans the roles of the engines of one service in one data centre. A change is started if the
// forecast says that it wins back its cost, also at the unfavourable end of the noise. The engine
// is drained first; the order is sent once it is empty. Not thread-safe.
class RolePlanner
{
public:
  explicit RolePlanner(RolePolicy aPolicy);

  void SetPolicy(const RolePolicy& aPolicy) { mPolicy = aPolicy; }
  void OnWorkload(const WorkloadSample& aSample, Time aNow);
  // Status as it was when the engine reported; aTaken orders it against the planner's own actions.
  void OnEngineStatus(const EngineStatus& aStatus, Time aTaken);
  void OnEngineGone(const EngineId& aEngine);
  void OnRoleChanged(const EngineId& aEngine, Role aRole, Time aNow);
  // The order failed; the engine takes requests again in its old role.
  void OnChangeFailed(const EngineId& aEngine, Time aNow);
  // Returns the actions to carry out now; to be called about once a second.
  std::vector<RoleAction> Plan(Time aNow);
  std::size_t Changing() const;

private:
  enum class Phase : std::uint8_t
  {
    Serving,
    Draining,
    Changing
  };
  struct EngineState
  {
    Role role = Role::Mixed;
    Role target = Role::Mixed;
    Phase phase = Phase::Serving;
    bool isHealthy = true;
    std::uint32_t requests = 0;
    // When the planner last started or ended a change.
    std::optional<Time> changed;
  };

  RoleCounts CountsAfterChanges() const;
  // The change with the largest gain in served work, if one pays.
  std::optional<RoleAction> BestChange(const RoleCounts& aCounts, Time aNow) const;
  // Least gain over the corners of the forecast's margins.
  double Gain(const RoleCounts& aBefore, const RoleCounts& aAfter, Time aNow) const;
  // Whether the change has paid for the whole confirmation time.
  bool IsConfirmed(const std::optional<RoleAction>& aChange, Time aNow);
  std::optional<EngineId> EngineFor(Role aFrom, Time aNow) const;
  // Engines that are out of service for another reason; they count as changing.
  std::size_t Unhealthy() const;
  std::size_t MaximumChanging() const;

  RolePolicy mPolicy;
  MixForecast mForecast;
  std::optional<Time> mStarted;
  // The roles of the change that pays at present, and since when.
  std::optional<std::pair<Role, Role>> mPaying;
  Time mPayingSince{};
  std::map<EngineId, EngineState> mEngines;
};

} // namespace masticstep::roles
