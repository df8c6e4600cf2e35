#include "masticstep/roles/RolePlanner.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace masticstep::roles {

namespace {

constexpr std::array<Role, 3> kRoles{ Role::Mixed, Role::Prefill, Role::Decode };
// Smaller differences are rounding errors.
constexpr double kMinimumGain = 1e-6;

std::size_t& CountOf(RoleCounts& aCounts, Role aRole)
{
  switch (aRole) {
    case Role::Prefill:
      return aCounts.prefill;
    case Role::Decode:
      return aCounts.decode;
    case Role::Mixed:
      break;
  }
  return aCounts.mixed;
}

} // namespace

RolePlanner::RolePlanner(RolePolicy aPolicy)
  : mPolicy(aPolicy)
  , mForecast(aPolicy.levelTimeConstant, aPolicy.trendTimeConstant)
{
}

void RolePlanner::OnWorkload(const WorkloadSample& aSample, Time aNow)
{
  if (!mFirstSampleTime) {
    mFirstSampleTime = aNow;
  }
  mForecast.Add(aSample, aNow);
}

void RolePlanner::OnEngineStatus(const EngineStatus& aStatus, Time aReportTime)
{
  EngineState& engine = mEngines[aStatus.engine];
  engine.isHealthy = aStatus.isHealthy;
  // A report from before the drain does not tell how many requests are left to finish.
  if (engine.lastChange && aReportTime <= *engine.lastChange) {
    return;
  }
  engine.requests = aStatus.requests;
  if (engine.phase == Phase::Serving) {
    engine.role = aStatus.role;
    engine.target = aStatus.role;
  }
}

void RolePlanner::OnEngineRemoved(const EngineId& aEngine)
{
  mEngines.erase(aEngine);
}

void RolePlanner::OnRoleChanged(const EngineId& aEngine, Role aRole, Time aNow)
{
  EngineState& engine = mEngines[aEngine];
  engine.role = aRole;
  engine.target = aRole;
  engine.phase = Phase::Serving;
  engine.lastChange = aNow;
}

void RolePlanner::OnChangeFailed(const EngineId& aEngine, Time aNow)
{
  const auto it = mEngines.find(aEngine);
  if (it != mEngines.end()) {
    OnRoleChanged(aEngine, it->second.role, aNow);
  }
}

std::size_t RolePlanner::ChangingCount() const
{
  return static_cast<std::size_t>(std::count_if(
    mEngines.begin(), mEngines.end(), [](const std::pair<const EngineId, EngineState>& aItem) {
      return aItem.second.phase != Phase::Serving;
    }));
}

std::size_t RolePlanner::UnhealthyCount() const
{
  return static_cast<std::size_t>(std::count_if(
    mEngines.begin(), mEngines.end(), [](const std::pair<const EngineId, EngineState>& aItem) {
      return aItem.second.phase == Phase::Serving && !aItem.second.isHealthy;
    }));
}

std::size_t RolePlanner::MaximumChangingCount() const
{
  // A small data centre must still be able to change one engine.
  const double count = std::floor(static_cast<double>(mEngines.size()) * mPolicy.maximumShare);
  return mEngines.size() < 2 ? 0 : std::max<std::size_t>(1, static_cast<std::size_t>(count));
}

RoleCounts RolePlanner::CountsAfterChanges() const
{
  RoleCounts counts;
  for (const std::pair<const EngineId, EngineState>& item : mEngines) {
    if (item.second.isHealthy) {
      ++CountOf(counts, item.second.target);
    }
  }
  return counts;
}

std::vector<RoleAction> RolePlanner::Plan(Time aNow)
{
  std::vector<RoleAction> actions;
  for (std::pair<const EngineId, EngineState>& item : mEngines) {
    EngineState& engine = item.second;
    if (engine.phase == Phase::Draining && engine.requests == 0) {
      engine.phase = Phase::Changing;
      actions.push_back({ RoleActionKind::SetRole, item.first, engine.target });
    }
  }
  if (!mFirstSampleTime || aNow - *mFirstSampleTime < mPolicy.warmUpTime) {
    return actions;
  }
  while (ChangingCount() + UnhealthyCount() < MaximumChangingCount()) {
    const std::optional<RoleAction> change = BestChange(CountsAfterChanges(), aNow);
    if (!IsConfirmed(change, aNow)) {
      break;
    }
    EngineState& engine = mEngines[change->engine];
    engine.phase = Phase::Draining;
    engine.target = change->role;
    engine.lastChange = aNow;
    // The number is unknown until a report taken after the drain, so assume that one is running.
    engine.requests = std::max(1U, engine.requests);
    actions.push_back(*change);
  }
  return actions;
}

bool RolePlanner::IsConfirmed(const std::optional<RoleAction>& aChange, Time aNow)
{
  if (!aChange) {
    mCandidate.reset();
    return false;
  }
  const std::pair<Role, Role> roles{ mEngines[aChange->engine].role, aChange->role };
  if (mCandidate != roles) {
    mCandidate = roles;
    mCandidateSince = aNow;
  }
  return aNow - mCandidateSince >= mPolicy.confirmationTime;
}

std::optional<RoleAction> RolePlanner::BestChange(const RoleCounts& aCounts, Time aNow) const
{
  std::optional<RoleAction> best;
  double bestGain = std::max(kMinimumGain, mPolicy.changeCost / ToSeconds(mPolicy.paybackTime));
  for (const Role from : kRoles) {
    const std::optional<EngineId> engine = SelectEngine(from, aNow);
    if (!engine) {
      continue;
    }
    for (const Role to : kRoles) {
      if (from == to) {
        continue;
      }
      RoleCounts after = aCounts;
      --CountOf(after, from);
      ++CountOf(after, to);
      const double gain = MinimumGain(aCounts, after, aNow);
      if (gain > bestGain) {
        bestGain = gain;
        best = RoleAction{ RoleActionKind::Drain, *engine, to };
      }
    }
  }
  return best;
}

double RolePlanner::MinimumGain(const RoleCounts& aBefore, const RoleCounts& aAfter, Time) const
{
  const WorkloadEstimate estimate = mForecast.Predict(mPolicy.leadTime);
  double minimum = std::numeric_limits<double>::max();
  for (const double prompt : { -1.0, 1.0 }) {
    for (const double output : { -1.0, 1.0 }) {
      const WorkloadSample work{
        std::max(0.0, estimate.promptWork.value + prompt * estimate.promptWork.margin),
        std::max(0.0, estimate.outputWork.value + output * estimate.outputWork.margin)
      };
      minimum = std::min(minimum, ServedWork(aAfter, work, mPolicy.costs) -
                                    ServedWork(aBefore, work, mPolicy.costs));
    }
  }
  return minimum;
}

std::optional<EngineId> RolePlanner::SelectEngine(Role aFrom, Time aNow) const
{
  std::optional<EngineId> found;
  std::uint32_t fewest = 0;
  for (const std::pair<const EngineId, EngineState>& item : mEngines) {
    const EngineState& engine = item.second;
    if (engine.phase != Phase::Serving || !engine.isHealthy || engine.role != aFrom) {
      continue;
    }
    if (engine.lastChange && aNow - *engine.lastChange < mPolicy.minimumInterval) {
      continue;
    }
    if (!found || engine.requests < fewest) {
      found = item.first;
      fewest = engine.requests;
    }
  }
  return found;
}

} // namespace masticstep::roles
