#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/routing/CacheEvent.hpp"
#include "masticstep/routing/EngineDescription.hpp"
#include "masticstep/routing/FailureKind.hpp"
#include "masticstep/routing/LoadReport.hpp"
#include "masticstep/routing/RouteDecision.hpp"
#include "masticstep/routing/RouteError.hpp"
#include "masticstep/routing/RouteRequest.hpp"
#include "masticstep/routing/RouterOptions.hpp"

#include <cstddef>
#include <memory>
#include <vector>

namespace masticstep::routing {

// Snapshot of the estimated load and state of one engine.
struct EngineView
{
  EngineId id;
  EngineRole role = EngineRole::Mixed;
  EngineState state = EngineState::Ready;
  bool isEjected = false;
  std::size_t localInFlight = 0;
  double running = 0.0;
  double waitingTokens = 0.0;
  double freeBlocks = 0.0;
};

// Remaining capacity of a service, as estimated by this router.
struct ServiceCapacity
{
  std::uint64_t localTokensInFlight = 0;
  std::uint64_t freeTokens = 0;
  std::size_t readyEngines = 0;
};

// Chooses an engine for each request and tracks the estimated state of the engines. Not
// thread-safe: the owner must guard every call with one mutex. Time arguments must not decrease.
class Router
{
public:
  static Result<Router, RouteError> Create(RouterOptions aOptions);
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;
  ~Router();

  // Adds an engine, or replaces its description and keeps its learned state.
  void SetEngine(const EngineDescription& aEngine);
  // Requests in flight on the engine stay counted until they finish.
  void RemoveEngine(const EngineId& aEngine);
  void SetClasses(const std::vector<ClassTargets>& aClasses);

  // Chooses an engine and counts the request as in flight there until OnFinished or OnFailed.
  Result<RouteDecision, RouteError> Choose(const RouteRequest& aRequest, Time aNow);
  void OnDispatched(RequestId aId, Time aNow);
  // Reports aCount further tokens of the answer.
  void OnTokens(RequestId aId, std::uint32_t aCount, Time aNow);
  void OnFinished(RequestId aId, Time aNow);
  void OnFailed(RequestId aId, FailureKind aKind, Time aNow);
  void OnLoadReport(const LoadReport& aReport, Time aNow);
  void OnCacheEvent(const CacheEvent& aEvent, Time aNow);
  void OnEngineState(const EngineId& aEngine, EngineState aState, Time aNow);

  // Returns the expected mean output length for the class and account, at most aMaxTokens.
  std::uint32_t PredictOutput(const ServiceName& aService, const ClassName& aClass,
                              const AccountName& aAccount, std::uint32_t aMaxTokens) const;
  ServiceCapacity CapacityOf(const ServiceName& aService, Time aNow) const;
  std::vector<EngineView> Engines(Time aNow) const;
  std::size_t InFlight() const;

private:
  class State;
  explicit Router(std::unique_ptr<State> aState);

  std::unique_ptr<State> mState;
};

} // namespace masticstep::routing
