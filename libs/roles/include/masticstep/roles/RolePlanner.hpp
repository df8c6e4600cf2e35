#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/roles/EngineStatus.hpp"
#include "masticstep/roles/RoleAction.hpp"
#include "masticstep/roles/RolePolicy.hpp"
#include "masticstep/roles/WorkloadForecast.hpp"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace masticstep::roles {

// Plans the roles of the engines of one service in one data centre. A change starts only if the
// forecast predicts that its gain covers its cost even for the least favourable workload within the
// forecast's margins. The engine is drained first; the order is sent once it is idle. Not
// thread-safe.
class RolePlanner
{
public:
  explicit RolePlanner(RolePolicy aPolicy);

  void SetPolicy(const RolePolicy& aPolicy) { mPolicy = aPolicy; }
  void OnWorkload(const WorkloadSample& aSample, Time aNow);
  // Takes a status that was reported at aReportTime. Its role and number of requests are ignored
  // unless it is newer than the planner's latest change of the engine.
  void OnEngineStatus(const EngineStatus& aStatus, Time aReportTime);
  void OnEngineRemoved(const EngineId& aEngine);
  void OnRoleChanged(const EngineId& aEngine, Role aRole, Time aNow);
  // The order failed; the engine accepts requests again in its old role.
  void OnChangeFailed(const EngineId& aEngine, Time aNow);
  // Returns the actions to carry out now. Call it about once a second.
  std::vector<RoleAction> Plan(Time aNow);
  std::size_t ChangingCount() const;

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
    // When the planner last started or completed a change.
    std::optional<Time> lastChange;
  };

  RoleCounts CountsAfterChanges() const;
  // Returns the change with the largest gain in served work, if its gain exceeds the cost.
  std::optional<RoleAction> BestChange(const RoleCounts& aCounts, Time aNow) const;
  // Returns the smallest gain over all combinations of the forecasts' lower and upper bounds.
  double MinimumGain(const RoleCounts& aBefore, const RoleCounts& aAfter, Time aNow) const;
  // Returns whether this change has been the candidate for the whole confirmation time.
  bool IsConfirmed(const std::optional<RoleAction>& aChange, Time aNow);
  std::optional<EngineId> SelectEngine(Role aFrom, Time aNow) const;
  // Engines that are out of service for another reason. They count towards the limit of changes.
  std::size_t UnhealthyCount() const;
  std::size_t MaximumChangingCount() const;

  RolePolicy mPolicy;
  WorkloadForecast mForecast;
  std::optional<Time> mFirstSampleTime;
  // The old and new role of the change to be confirmed, and since when it has been the candidate.
  std::optional<std::pair<Role, Role>> mCandidate;
  Time mCandidateSince{};
  std::map<EngineId, EngineState> mEngines;
};

} // namespace masticstep::roles
