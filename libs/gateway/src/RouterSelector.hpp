#pragma once

#include "EngineSelector.hpp"
#include "ReportSequence.hpp"
#include "masticstep/config/Settings.hpp"
#include "masticstep/routing/Router.hpp"

#include <map>
#include <mutex>
#include <set>

namespace masticstep::gateway {

// Selects engines of model services with a routing::Router that is guarded by one mutex.
class RouterSelector : public EngineSelector
{
public:
  static std::unique_ptr<RouterSelector> Create(const Settings& aSettings, std::uint64_t aSeed);

  void OnConfiguration(const Configuration& aConfiguration, Time aNow) override;
  Result<EngineId, SelectionFailure> Choose(const EngineQuery& aQuery, Time aNow) override;
  void OnDispatched(RequestId aId, Time aNow) override;
  void OnTokens(RequestId aId, std::uint32_t aCount, Time aNow) override;
  void OnFinished(RequestId aId, Time aNow) override;
  void OnFailed(RequestId aId, EngineFailure aFailure, Time aNow) override;
  void OnLoad(const EngineLoad& aLoad, Time aNow) override;
  void OnCacheEvent(const EngineCacheEvent& aEvent, Time aNow) override;
  void OnUnreachable(const EngineId& aEngine, Time aNow) override;
  void SetDraining(const EngineId& aEngine, bool aIsDraining, Time aNow) override;
  std::optional<std::uint64_t> Capacity(const ServiceName& aService, Time aNow) const override;
  std::uint32_t ExpectedOutput(const EngineQuery& aQuery) const override;
  std::vector<EngineStatus> Status(Time aNow) const override;

private:
  explicit RouterSelector(routing::Router aRouter);

  mutable std::mutex mMutex;
  routing::Router mRouter;
  std::map<EngineId, ServiceName> mEngines; // of the current configuration
  std::set<EngineId> mDraining;
  std::map<EngineId, ReportSequence> mSequences;
};

} // namespace masticstep::gateway
