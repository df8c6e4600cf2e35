#include "LeastOutstandingSelector.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::gateway {

namespace {

// Limits the cost of an unreachable server to one connect timeout per second.
constexpr Duration kFailureBackoff = Seconds(1);

bool IsExcluded(const EngineQuery& aQuery, const EngineId& aEngine)
{
  return std::find(aQuery.excluded.begin(), aQuery.excluded.end(), aEngine) !=
         aQuery.excluded.end();
}

} // namespace

LeastOutstandingSelector::LeastOutstandingSelector(ServiceKind aKind, std::uint64_t aSeed)
  : mKind(aKind)
  , mRandom(aSeed)
{
}

void LeastOutstandingSelector::OnConfiguration(const Configuration& aConfiguration, Time /*aNow*/)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (auto& [name, server] : mServers) {
    server.isConfigured = false;
  }
  for (const Service& service : aConfiguration.Services()) {
    if (service.kind != mKind) {
      continue;
    }
    for (const BackendServer& backend : service.backendServers) {
      Server& server = mServers[backend.name];
      server.service = service.name;
      server.isConfigured = true;
    }
  }
  std::erase_if(mServers, [](const auto& aEntry) {
    return !aEntry.second.isConfigured && aEntry.second.inFlight == 0;
  });
}

bool LeastOutstandingSelector::IsUsable(const EngineId& aEngine, const Server& aServer,
                                        const EngineQuery& aQuery, Time aNow) const
{
  return aServer.isConfigured && !mDraining.contains(aEngine) && aServer.state == "ready" &&
         aServer.service == aQuery.service && aNow >= aServer.avoidedUntil &&
         !IsExcluded(aQuery, aEngine);
}

Result<EngineId, SelectionFailure> LeastOutstandingSelector::Choose(const EngineQuery& aQuery,
                                                                    Time aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<std::pair<const EngineId, Server>*> candidates;
  for (std::pair<const EngineId, Server>& entry : mServers) {
    if (!IsUsable(entry.first, entry.second, aQuery, aNow)) {
      continue;
    }
    if (!candidates.empty() && entry.second.inFlight < candidates.front()->second.inFlight) {
      candidates.clear();
    }
    if (candidates.empty() || entry.second.inFlight == candidates.front()->second.inFlight) {
      candidates.push_back(&entry);
    }
  }
  if (candidates.empty()) {
    return Failure(SelectionFailure::NoEngine);
  }
  std::pair<const EngineId, Server>& chosen = *candidates[mRandom.Below(candidates.size())];
  ++chosen.second.inFlight;
  mRequests[aQuery.id] = chosen.first;
  return chosen.first;
}

void LeastOutstandingSelector::Release(RequestId aId)
{
  const auto found = mRequests.find(aId);
  if (found == mRequests.end()) {
    return;
  }
  const auto server = mServers.find(found->second);
  if (server != mServers.end() && server->second.inFlight > 0) {
    --server->second.inFlight;
  }
  mRequests.erase(found);
}

void LeastOutstandingSelector::OnFinished(RequestId aId, Time /*aNow*/)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  Release(aId);
}

void LeastOutstandingSelector::OnFailed(RequestId aId, EngineFailure aFailure, Time aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mRequests.find(aId);
  if (found != mRequests.end() && aFailure == EngineFailure::ConnectionFailed) {
    const auto server = mServers.find(found->second);
    if (server != mServers.end()) {
      server->second.avoidedUntil = aNow + kFailureBackoff;
    }
  }
  Release(aId);
}

void LeastOutstandingSelector::OnLoad(const EngineLoad& aLoad, Time /*aNow*/)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mServers.find(aLoad.engine);
  if (found != mServers.end()) {
    found->second.state = aLoad.state;
  }
}

void LeastOutstandingSelector::OnUnreachable(const EngineId& aEngine, Time aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mServers.find(aEngine);
  if (found != mServers.end()) {
    found->second.avoidedUntil = aNow + kFailureBackoff;
  }
}

void LeastOutstandingSelector::SetDraining(const EngineId& aEngine, bool aIsDraining, Time /*aNow*/)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aIsDraining) {
    mDraining.insert(aEngine);
  } else {
    mDraining.erase(aEngine);
  }
}

std::vector<EngineStatus> LeastOutstandingSelector::Status(Time aNow) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<EngineStatus> statuses;
  for (const auto& [name, server] : mServers) {
    const bool isDown = aNow < server.avoidedUntil;
    const std::string state =
      mDraining.contains(name) || !server.isConfigured ? "draining" : server.state;
    statuses.push_back({ name, isDown ? "down" : state, server.inFlight });
  }
  return statuses;
}

} // namespace masticstep::gateway
