#pragma once

#include "EngineSelector.hpp"
#include "masticstep/base/Random.hpp"

#include <map>
#include <mutex>
#include <set>
#include <unordered_map>

namespace masticstep::gateway {

// Selects the server with the fewest requests in flight from this daemon. Used for plain services,
// which report no load.
class LeastOutstandingSelector : public EngineSelector
{
public:
  LeastOutstandingSelector(ServiceKind aKind, std::uint64_t aSeed);

  void OnConfiguration(const Configuration& aConfiguration, Time aNow) override;
  Result<EngineId, SelectionFailure> Choose(const EngineQuery& aQuery, Time aNow) override;
  void OnDispatched(RequestId, Time) override {}
  void OnTokens(RequestId, std::uint32_t, Time) override {}
  void OnFinished(RequestId aId, Time aNow) override;
  void OnFailed(RequestId aId, EngineFailure aFailure, Time aNow) override;
  void OnLoad(const EngineLoad& aLoad, Time aNow) override;
  void OnCacheEvent(const EngineCacheEvent&, Time) override {}
  void OnUnreachable(const EngineId& aEngine, Time aNow) override;
  void SetDraining(const EngineId& aEngine, bool aIsDraining, Time aNow) override;
  std::optional<std::uint64_t> Capacity(const ServiceName&, Time) const override
  {
    return std::nullopt;
  }
  std::uint32_t ExpectedOutput(const EngineQuery& aQuery) const override
  {
    return aQuery.maxTokens;
  }
  std::vector<EngineStatus> Status(Time aNow) const override;

private:
  struct Server
  {
    ServiceName service;
    std::uint64_t inFlight = 0;
    bool isConfigured = true;
    std::string state = "ready";
    Time avoidedUntil; // after a failed connection attempt
  };

  bool IsUsable(const EngineId& aEngine, const Server& aServer, const EngineQuery& aQuery,
                Time aNow) const;
  void Release(RequestId aId);

  const ServiceKind mKind;
  mutable std::mutex mMutex;
  Random mRandom;
  std::map<EngineId, Server> mServers;
  std::set<EngineId> mDraining;
  std::unordered_map<RequestId, EngineId> mRequests;
};

} // namespace masticstep::gateway
