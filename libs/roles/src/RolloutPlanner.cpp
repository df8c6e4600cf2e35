#include "masticstep/roles/RolloutPlanner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace masticstep::roles {

RolloutPlanner::RolloutPlanner(RolloutOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

void RolloutPlanner::OnEngine(const EngineId& aEngine, const std::string& aVersion, bool aIsReady,
                              std::uint32_t aRequests)
{
  EngineState& engine = mEngines[aEngine];
  engine.version = aVersion;
  engine.isReady = aIsReady;
  engine.requests = aRequests;
}

void RolloutPlanner::OnEngineGone(const EngineId& aEngine)
{
  mEngines.erase(aEngine);
}

void RolloutPlanner::OnLoaded(const EngineId& aEngine, const std::string& aVersion)
{
  EngineState& engine = mEngines[aEngine];
  engine = { aVersion, Phase::Serving, true, 0 };
}

void RolloutPlanner::OnLoadFailed(const EngineId& aEngine)
{
  const auto it = mEngines.find(aEngine);
  if (it != mEngines.end() && it->second.phase == Phase::Loading) {
    it->second.phase = Phase::Draining;
  }
}

std::size_t RolloutPlanner::Ready() const
{
  return static_cast<std::size_t>(std::count_if(
    mEngines.begin(), mEngines.end(), [](const std::pair<const EngineId, EngineState>& aItem) {
      return aItem.second.phase == Phase::Serving && aItem.second.isReady;
    }));
}

std::size_t RolloutPlanner::MaximumOut() const
{
  const double share = std::floor(static_cast<double>(mEngines.size()) * mOptions.maximumShare);
  return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

std::vector<RolloutAction> RolloutPlanner::Plan(Time aNow)
{
  std::vector<RolloutAction> actions;
  std::size_t out = 0;
  for (std::pair<const EngineId, EngineState>& item : mEngines) {
    EngineState& engine = item.second;
    if (engine.phase == Phase::Draining && engine.requests == 0 && mStoreFree <= aNow) {
      engine.phase = Phase::Loading;
      mStoreFree = aNow + FromSeconds(mOptions.weightBytes / mOptions.storeBytesPerSecond);
      actions.push_back({ RolloutActionKind::LoadVersion, item.first });
    }
    out += engine.phase == Phase::Serving ? 0 : 1;
  }
  for (std::pair<const EngineId, EngineState>& item : mEngines) {
    EngineState& engine = item.second;
    const bool isOld = engine.phase == Phase::Serving && engine.version != mOptions.targetVersion;
    // An engine that is not ready serves nobody, so that draining it takes nothing away.
    const bool leavesOneReady = !engine.isReady || Ready() >= 2;
    if (!isOld || out >= MaximumOut() || !leavesOneReady) {
      continue;
    }
    engine.phase = Phase::Draining;
    ++out;
    actions.push_back({ RolloutActionKind::Drain, item.first });
  }
  return actions;
}

std::optional<Time> RolloutPlanner::NextWakeUp() const
{
  const bool isWaiting = std::any_of(
    mEngines.begin(), mEngines.end(), [](const std::pair<const EngineId, EngineState>& aItem) {
      return aItem.second.phase == Phase::Draining && aItem.second.requests == 0;
    });
  return isWaiting ? std::optional<Time>(mStoreFree) : std::nullopt;
}

bool RolloutPlanner::IsDone() const
{
  return std::all_of(
    mEngines.begin(), mEngines.end(), [this](const std::pair<const EngineId, EngineState>& aItem) {
      return aItem.second.phase == Phase::Serving && aItem.second.version == mOptions.targetVersion;
    });
}

bool RolloutPlanner::IsBlocked() const
{
  return !IsDone() && Ready() <= 1 &&
         std::all_of(mEngines.begin(), mEngines.end(),
                     [](const std::pair<const EngineId, EngineState>& aItem) {
                       return aItem.second.phase == Phase::Serving;
                     });
}

} // namespace masticstep::roles
