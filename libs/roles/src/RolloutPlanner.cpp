#include "masticstep/roles/RolloutPlanner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace masticstep::roles {

RolloutPlanner::RolloutPlanner(RolloutOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

void RolloutPlanner::OnEngineStatus(const EngineId& aEngine, const std::string& aVersion,
                                    bool aIsReady, std::uint32_t aRequests)
{
  EngineState& engine = mEngines[aEngine];
  engine.version = aVersion;
  engine.isReady = aIsReady;
  engine.requests = aRequests;
}

void RolloutPlanner::OnEngineRemoved(const EngineId& aEngine)
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
    // The engine is still drained, so Plan loads it again when the weight store's rate permits.
    it->second.phase = Phase::Draining;
  }
}

std::size_t RolloutPlanner::ReadyCount() const
{
  return static_cast<std::size_t>(std::count_if(
    mEngines.begin(), mEngines.end(), [](const std::pair<const EngineId, EngineState>& aItem) {
      return aItem.second.phase == Phase::Serving && aItem.second.isReady;
    }));
}

std::size_t RolloutPlanner::MaximumUnavailable() const
{
  const double count = std::floor(static_cast<double>(mEngines.size()) * mOptions.maximumShare);
  return std::max<std::size_t>(1, static_cast<std::size_t>(count));
}

std::vector<RolloutAction> RolloutPlanner::Plan(Time aNow)
{
  std::vector<RolloutAction> actions;
  std::size_t unavailable = 0;
  for (std::pair<const EngineId, EngineState>& item : mEngines) {
    EngineState& engine = item.second;
    if (engine.phase == Phase::Draining && engine.requests == 0 && mNextLoadStart <= aNow) {
      engine.phase = Phase::Loading;
      mNextLoadStart = aNow + FromSeconds(mOptions.weightBytes / mOptions.storeBytesPerSecond);
      actions.push_back({ RolloutActionKind::LoadVersion, item.first });
    }
    unavailable += engine.phase == Phase::Serving ? 0 : 1;
  }
  for (std::pair<const EngineId, EngineState>& item : mEngines) {
    EngineState& engine = item.second;
    const bool isOld = engine.phase == Phase::Serving && engine.version != mOptions.targetVersion;
    // Draining an engine that is not ready takes no capacity away.
    const bool leavesOneReady = !engine.isReady || ReadyCount() >= 2;
    if (!isOld || unavailable >= MaximumUnavailable() || !leavesOneReady) {
      continue;
    }
    engine.phase = Phase::Draining;
    ++unavailable;
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
  return isWaiting ? std::optional<Time>(mNextLoadStart) : std::nullopt;
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
  return !IsDone() && ReadyCount() <= 1 &&
         std::all_of(mEngines.begin(), mEngines.end(),
                     [](const std::pair<const EngineId, EngineState>& aItem) {
                       return aItem.second.phase == Phase::Serving;
                     });
}

} // namespace masticstep::roles
