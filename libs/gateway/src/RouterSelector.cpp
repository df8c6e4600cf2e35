#include "RouterSelector.hpp"

#include <utility>

namespace masticstep::gateway {

namespace {

// Tokens per KV cache block of the engines.
constexpr std::uint32_t kTokensPerBlock = 32;

SelectionFailure ToSelectionFailure(routing::RouteErrorKind aKind)
{
  switch (aKind) {
    case routing::RouteErrorKind::DeadlineCannotBeMet:
      return SelectionFailure::DeadlineCannotBeMet;
    case routing::RouteErrorKind::Overload:
      return SelectionFailure::NoCapacity;
    case routing::RouteErrorKind::UnknownService:
    case routing::RouteErrorKind::NoEngine:
    case routing::RouteErrorKind::AlreadyInFlight:
      break;
  }
  return SelectionFailure::NoEngine;
}

routing::EngineRole ToRouting(EngineRole aRole)
{
  switch (aRole) {
    case EngineRole::Mixed:
      return routing::EngineRole::Mixed;
    case EngineRole::Prefill:
      return routing::EngineRole::Prefill;
    case EngineRole::Decode:
      return routing::EngineRole::Decode;
  }
  return routing::EngineRole::Mixed;
}

routing::EngineRole ParseRole(const std::string& aText)
{
  if (aText == "prefill") {
    return routing::EngineRole::Prefill;
  }
  return aText == "decode" ? routing::EngineRole::Decode : routing::EngineRole::Mixed;
}

routing::EngineState ParseState(const std::string& aText)
{
  if (aText == "ready") {
    return routing::EngineState::Ready;
  }
  if (aText == "changing") {
    return routing::EngineState::ChangingRole;
  }
  // An engine in a state unknown to this version gets no new requests.
  return routing::EngineState::Draining;
}

routing::FailureKind ToRouting(EngineFailure aFailure)
{
  switch (aFailure) {
    case EngineFailure::ConnectionFailed:
      return routing::FailureKind::ConnectionFailed;
    case EngineFailure::Silent:
      return routing::FailureKind::Silent;
    case EngineFailure::Broken:
      return routing::FailureKind::EngineError;
    case EngineFailure::Refused:
      return routing::FailureKind::Refused;
    case EngineFailure::Cancelled:
      return routing::FailureKind::Cancelled;
    case EngineFailure::DeadlineExceeded:
      return routing::FailureKind::DeadlineExceeded;
  }
  return routing::FailureKind::EngineError;
}

const char* ToString(routing::EngineState aState)
{
  switch (aState) {
    case routing::EngineState::Ready:
      return "ready";
    case routing::EngineState::Draining:
      return "draining";
    case routing::EngineState::ChangingRole:
      return "changing";
    case routing::EngineState::Down:
      return "down";
  }
  return "down";
}

std::vector<routing::ClassTargets> ToClassTargets(const Service& aService)
{
  std::vector<routing::ClassTargets> targets;
  for (const ServiceClass& item : aService.classes) {
    targets.push_back(
      { aService.name, item.name, item.firstToken, item.betweenTokens, item.deadline });
  }
  return targets;
}

} // namespace

RouterSelector::RouterSelector(routing::Router aRouter)
  : mRouter(std::move(aRouter))
{
}

std::unique_ptr<RouterSelector> RouterSelector::Create(const Settings& aSettings,
                                                       std::uint64_t aSeed)
{
  routing::RouterOptions options;
  options.dataCentre = aSettings.dataCentre;
  options.region = aSettings.region;
  options.tokensPerBlock = kTokensPerBlock;
  options.seed = aSeed;
  Result<routing::Router, routing::RouteError> router = routing::Router::Create(std::move(options));
  return std::unique_ptr<RouterSelector>(new RouterSelector(std::move(*router)));
}

void RouterSelector::OnConfiguration(const Configuration& aConfiguration, Time /*aNow*/)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::map<EngineId, ServiceName> engines;
  std::vector<routing::ClassTargets> targets;
  for (const Service& service : aConfiguration.Services()) {
    if (service.kind != ServiceKind::Model) {
      continue;
    }
    const std::vector<routing::ClassTargets> serviceTargets = ToClassTargets(service);
    targets.insert(targets.end(), serviceTargets.begin(), serviceTargets.end());
    for (const BackendServer& backend : service.backendServers) {
      routing::EngineDescription engine;
      engine.id = backend.name;
      engine.service = service.name;
      engine.dataCentre = backend.dataCentre;
      engine.region = backend.region;
      engine.role = ToRouting(backend.role);
      mRouter.SetEngine(engine);
      engines[backend.name] = service.name;
    }
  }
  for (const auto& [name, service] : mEngines) {
    if (!engines.contains(name)) {
      mRouter.RemoveEngine(name);
      mSequences.erase(name);
    }
  }
  mEngines = std::move(engines);
  mRouter.SetClasses(targets);
}

Result<EngineId, SelectionFailure> RouterSelector::Choose(const EngineQuery& aQuery, Time aNow)
{
  routing::RouteRequest request;
  request.id = aQuery.id;
  request.service = aQuery.service;
  request.className = aQuery.className;
  request.account = aQuery.account;
  request.promptTokens = aQuery.promptTokens;
  request.maxTokens = aQuery.maxTokens;
  request.prefixHashes = aQuery.prefixHashes;
  request.arrived = aQuery.arrived;
  request.deadline = aQuery.deadline;
  request.priority = aQuery.priority;
  request.excluded = aQuery.excluded;
  const std::lock_guard<std::mutex> lock(mMutex);
  request.excluded.insert(request.excluded.end(), mDraining.begin(), mDraining.end());
  const Result<routing::RouteDecision, routing::RouteError> decision =
    mRouter.Choose(request, aNow);
  if (!decision) {
    return Failure(ToSelectionFailure(decision.error().kind));
  }
  return decision->engine;
}

void RouterSelector::OnDispatched(RequestId aId, Time aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mRouter.OnDispatched(aId, aNow);
}

void RouterSelector::OnTokens(RequestId aId, std::uint32_t aCount, Time aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mRouter.OnTokens(aId, aCount, aNow);
}

void RouterSelector::OnFinished(RequestId aId, Time aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mRouter.OnFinished(aId, aNow);
}

void RouterSelector::OnFailed(RequestId aId, EngineFailure aFailure, Time aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mRouter.OnFailed(aId, ToRouting(aFailure), aNow);
}

void RouterSelector::OnLoad(const EngineLoad& aLoad, Time aNow)
{
  routing::LoadReport report;
  report.engine = aLoad.engine;
  report.age = aLoad.age;
  report.running = aLoad.running;
  report.waiting = aLoad.waiting;
  report.kvBlocksUsed = aLoad.blocksUsed;
  report.kvBlocksTotal = aLoad.blocksTotal;
  report.role = ParseRole(aLoad.role);
  report.state = ParseState(aLoad.state);
  const std::lock_guard<std::mutex> lock(mMutex);
  report.sequence = mSequences[aLoad.engine].Next(aLoad.sequence);
  mRouter.OnLoadReport(report, aNow);
}

void RouterSelector::OnCacheEvent(const EngineCacheEvent& aEvent, Time aNow)
{
  const routing::CacheEventKind kind =
    aEvent.isStored ? routing::CacheEventKind::Stored : routing::CacheEventKind::Removed;
  const std::lock_guard<std::mutex> lock(mMutex);
  mRouter.OnCacheEvent({ aEvent.engine, aEvent.sequence, kind, aEvent.hash }, aNow);
}

void RouterSelector::OnUnreachable(const EngineId& aEngine, Time aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mRouter.OnEngineState(aEngine, routing::EngineState::Down, aNow);
}

void RouterSelector::SetDraining(const EngineId& aEngine, bool aIsDraining, Time /*aNow*/)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aIsDraining) {
    mDraining.insert(aEngine);
  } else {
    mDraining.erase(aEngine);
  }
}

std::optional<std::uint64_t> RouterSelector::Capacity(const ServiceName& aService, Time aNow) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const routing::ServiceCapacity capacity = mRouter.CapacityOf(aService, aNow);
  return capacity.localTokensInFlight + capacity.freeTokens;
}

std::uint32_t RouterSelector::ExpectedOutput(const EngineQuery& aQuery) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mRouter.PredictOutput(aQuery.service, aQuery.className, aQuery.account, aQuery.maxTokens);
}

std::vector<EngineStatus> RouterSelector::Status(Time aNow) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<EngineStatus> statuses;
  for (const routing::EngineView& view : mRouter.Engines(aNow)) {
    std::string state = view.isEjected ? "ejected" : ToString(view.state);
    if (mDraining.contains(view.id)) {
      state = "draining";
    }
    statuses.push_back({ view.id, std::move(state), view.localInFlight });
  }
  return statuses;
}

} // namespace masticstep::gateway
