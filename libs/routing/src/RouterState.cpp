#include "RouterState.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::routing {

namespace {

// A gap in the cache events halves what is counted on; events without a gap restore it slowly.
constexpr double kTrustAfterGap = 0.5;
constexpr double kTrustRestored = 0.01;

bool IsEngineFault(FailureKind aKind)
{
  return aKind == FailureKind::ConnectionFailed || aKind == FailureKind::Silent ||
         aKind == FailureKind::EngineError;
}

} // namespace

Router::State::State(RouterOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.seed)
  , mPrefixes(mOptions.prefixHashesPerEngine)
  , mOutputs(mOptions.maximumOutputHistories)
{
  SetClasses(mOptions.classes);
}

void Router::State::SetEngine(const EngineDescription& aEngine)
{
  EngineBelief* known = Find(aEngine.id);
  if (known == nullptr) {
    mEngineIndex[aEngine.id] = mEngines.size();
    ServiceState& service = mServices[aEngine.service];
    service.engines.push_back(mEngines.size());
    mEngines.emplace_back(aEngine, service.models);
    mEngines.back().SetZone(mOptions);
    mMatched.resize(mEngines.size());
    mSummaries.push_back(mEngines.back().Summary());
    return;
  }
  if (known->description.service != aEngine.service) {
    std::erase(mServices[known->description.service].engines, mEngineIndex[aEngine.id]);
    mServices[aEngine.service].engines.push_back(mEngineIndex[aEngine.id]);
    known->models = &mServices[aEngine.service].models;
  }
  // A report knows the present role better than a new configuration does.
  const EngineRole role = known->description.role;
  known->description = aEngine;
  known->description.role = role;
  known->isRemoved = false;
  known->SetZone(mOptions);
  Refresh(mEngineIndex[aEngine.id]);
}

void Router::State::RemoveEngine(const EngineId& aEngine)
{
  EngineBelief* known = Find(aEngine);
  if (known == nullptr) {
    return;
  }
  known->isRemoved = true;
  Refresh(mEngineIndex[aEngine]);
  mPrefixes.Clear(mEngineIndex[aEngine]);
}

void Router::State::SetClasses(const std::vector<ClassTargets>& aClasses)
{
  // A class keeps its place, since requests in flight refer to it.
  for (const ClassTargets& item : aClasses) {
    const std::size_t index = ClassIndex(item.service, item.name);
    if (index < mClasses.size()) {
      mClasses[index] = item;
    } else {
      mClasses.push_back(item);
    }
  }
}

EngineBelief* Router::State::Find(const EngineId& aEngine)
{
  const auto it = mEngineIndex.find(aEngine);
  return it == mEngineIndex.end() ? nullptr : &mEngines[it->second];
}

std::size_t Router::State::ClassIndex(const ServiceName& aService, const ClassName& aClass) const
{
  for (std::size_t i = 0; i < mClasses.size(); ++i) {
    if (mClasses[i].name == aClass && mClasses[i].service == aService) {
      return i;
    }
  }
  return mClasses.size();
}

void Router::State::OnDispatched(RequestId aId, Time aNow)
{
  const auto it = mInFlight.find(aId);
  if (it != mInFlight.end()) {
    it->second.sent = aNow;
  }
}

void Router::State::OnTokens(RequestId aId, std::uint32_t aCount, Time aNow)
{
  const auto it = mInFlight.find(aId);
  if (it == mInFlight.end() || aCount == 0) {
    return;
  }
  OpenRequest& request = it->second;
  EngineBelief& engine = mEngines[request.engine];
  if (request.tokens == 0) {
    request.firstToken = aNow;
    engine.load.Add({ 0.0, -request.uncachedTokens, 0.0 }, aNow);
    engine.breaker.OnSuccess(request.breakerGeneration, aNow);
    CostModel& model = (*engine.models)[static_cast<std::size_t>(request.role)];
    const double seconds = ToSeconds(aNow - request.sent) - engine.roundTrip;
    engine.firstTokenFactor.Learn(seconds,
                                  model.FirstToken(request.classIndex, request.firstTokenFeatures));
    model.LearnFirstToken(request.classIndex, request.firstTokenFeatures,
                          seconds / engine.firstTokenFactor.Value());
    for (const std::uint64_t hash : request.prefixHashes) {
      mPrefixes.Store(request.engine, hash);
    }
    Refresh(request.engine);
  }
  request.tokens += aCount;
}

void Router::State::OnFinished(RequestId aId, Time aNow)
{
  const auto it = mInFlight.find(aId);
  if (it == mInFlight.end()) {
    return;
  }
  const OpenRequest request = std::move(it->second);
  mInFlight.erase(it);
  LearnAnswer(request, aNow);
  if (request.tokens == 0) {
    mEngines[request.engine].breaker.OnSuccess(request.breakerGeneration, aNow);
  }
  Release(request, aNow);
}

void Router::State::LearnAnswer(const OpenRequest& aRequest, Time aNow)
{
  EngineBelief& engine = mEngines[aRequest.engine];
  mOutputs.Learn(aRequest.classIndex, aRequest.account, aRequest.tokens);
  if (aRequest.tokens < 2) {
    return;
  }
  // The load changes while an answer runs; the mean of its start and end stands for the whole.
  BetweenTokensFeatures features = BetweenTokensFeaturesOf(engine.load.Load());
  for (std::size_t i = 0; i < features.size(); ++i) {
    features[i] = (features[i] + aRequest.betweenFeatures[i]) / 2.0F;
  }
  CostModel& model = (*engine.models)[static_cast<std::size_t>(aRequest.role)];
  const double seconds = ToSeconds(aNow - aRequest.firstToken) / (aRequest.tokens - 1);
  engine.betweenFactor.Learn(seconds, model.BetweenTokens(features));
  model.LearnBetweenTokens(features, seconds / engine.betweenFactor.Value());
}

void Router::State::OnFailed(RequestId aId, FailureKind aKind, Time aNow)
{
  const auto it = mInFlight.find(aId);
  if (it == mInFlight.end()) {
    return;
  }
  const OpenRequest request = std::move(it->second);
  mInFlight.erase(it);
  EngineBelief& engine = mEngines[request.engine];
  if (IsEngineFault(aKind)) {
    engine.breaker.OnFailure(request.breakerGeneration, aNow);
  } else {
    engine.breaker.OnAbandoned(request.breakerGeneration);
  }
  Release(request, aNow);
}

void Router::State::Release(const OpenRequest& aRequest, Time aNow)
{
  EngineBelief& engine = mEngines[aRequest.engine];
  const double waiting = aRequest.tokens == 0 ? -aRequest.uncachedTokens : 0.0;
  engine.load.Add({ -1.0, waiting, -aRequest.blocks }, aNow);
  --engine.localInFlight;
  aRequest.service->ownTokens -= aRequest.promptTokens + aRequest.outputExpected;
  Refresh(aRequest.engine);
}

void Router::State::OnLoadReport(const LoadReport& aReport, Time aNow)
{
  EngineBelief* engine = Find(aReport.engine);
  if (engine == nullptr) {
    return;
  }
  if (!engine->load.OnReport(aReport, engine->meanPromptTokens, aNow)) {
    return;
  }
  engine->description.role = aReport.role;
  engine->reported = aReport.state;
  // A report taken later shows that the engine is up again; only an announcement ends a drain.
  if (engine->announced != EngineState::Draining && aNow - aReport.age > engine->announcedAt) {
    engine->announced = EngineState::Ready;
  }
  Refresh(mEngineIndex[aReport.engine]);
}

void Router::State::OnCacheEvent(const CacheEvent& aEvent)
{
  EngineBelief* engine = Find(aEvent.engine);
  if (engine == nullptr || aEvent.sequence <= engine->cacheSequence) {
    return;
  }
  const bool isGap = engine->cacheSequence != 0 && aEvent.sequence != engine->cacheSequence + 1;
  engine->cacheSequence = aEvent.sequence;
  engine->cacheTrust = isGap ? engine->cacheTrust * kTrustAfterGap
                             : std::min(1.0, engine->cacheTrust + kTrustRestored);
  const std::size_t index = mEngineIndex[aEvent.engine];
  if (aEvent.kind == CacheEventKind::Stored) {
    mPrefixes.Store(index, aEvent.hash);
  } else {
    mPrefixes.Remove(index, aEvent.hash);
  }
  mSummaries[index].cacheTrust = static_cast<float>(engine->cacheTrust);
}

void Router::State::OnEngineState(const EngineId& aEngine, EngineState aState, Time aNow)
{
  EngineBelief* engine = Find(aEngine);
  if (engine != nullptr) {
    engine->announced = aState;
    engine->announcedAt = aNow;
    // An announced end of a drain is newer than the drain that the last report showed.
    engine->reported = aState == EngineState::Ready ? EngineState::Ready : engine->reported;
    Refresh(mEngineIndex[aEngine]);
  }
}

} // namespace masticstep::routing
