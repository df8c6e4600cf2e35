#include "masticstep/routing/Router.hpp"

#include "RouterState.hpp"

#include <utility>

namespace masticstep::routing {

Result<Router, RouteError> Router::Create(RouterOptions aOptions)
{
  return Router(std::make_unique<State>(std::move(aOptions)));
}

Router::Router(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;
Router::~Router() = default;

void Router::SetEngine(const EngineDescription& aEngine)
{
  mState->SetEngine(aEngine);
}

void Router::RemoveEngine(const EngineId& aEngine)
{
  mState->RemoveEngine(aEngine);
}

void Router::SetClasses(const std::vector<ClassTargets>& aClasses)
{
  mState->SetClasses(aClasses);
}

Result<RouteDecision, RouteError> Router::Choose(const RouteRequest& aRequest, Time aNow)
{
  return mState->Choose(aRequest, aNow);
}

void Router::OnDispatched(RequestId aId, Time aNow)
{
  mState->OnDispatched(aId, aNow);
}

void Router::OnTokens(RequestId aId, std::uint32_t aCount, Time aNow)
{
  mState->OnTokens(aId, aCount, aNow);
}

void Router::OnFinished(RequestId aId, Time aNow)
{
  mState->OnFinished(aId, aNow);
}

void Router::OnFailed(RequestId aId, FailureKind aKind, Time aNow)
{
  mState->OnFailed(aId, aKind, aNow);
}

void Router::OnLoadReport(const LoadReport& aReport, Time aNow)
{
  mState->OnLoadReport(aReport, aNow);
}

void Router::OnCacheEvent(const CacheEvent& aEvent, Time)
{
  mState->OnCacheEvent(aEvent);
}

void Router::OnEngineState(const EngineId& aEngine, EngineState aState, Time aNow)
{
  mState->OnEngineState(aEngine, aState, aNow);
}

std::uint32_t Router::PredictOutput(const ServiceName& aService, const ClassName& aClass,
                                    const AccountName& aAccount, std::uint32_t aMaxTokens) const
{
  return mState->PredictOutput(aService, aClass, aAccount, aMaxTokens);
}

ServiceCapacity Router::CapacityOf(const ServiceName& aService, Time aNow) const
{
  return mState->CapacityOf(aService, aNow);
}

std::vector<EngineView> Router::Engines(Time aNow) const
{
  return mState->Engines(aNow);
}

std::size_t Router::InFlight() const
{
  return mState->InFlightCount();
}

} // namespace masticstep::routing
