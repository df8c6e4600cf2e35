#include "RouterState.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::routing {

namespace {

// A gap in the cache events halves the confidence in cache hits. Events without a gap restore it
// slowly.
constexpr double kGapConfidenceFactor = 0.5;
constexpr double kConfidenceIncrement = 0.01;

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
  EngineRecord* existing = Find(aEngine.id);
  if (existing == nullptr) {
    mEngineIndex[aEngine.id] = mEngines.size();
    ServiceState& service = mServices[aEngine.service];
    service.engines.push_back(mEngines.size());
    mEngines.emplace_back(aEngine, service.models);
    mEngines.back().SetLocality(mOptions);
    mMatched.resize(mEngines.size());
    mSummaries.push_back(mEngines.back().Summary());
    return;
  }
  if (existing->description.service != aEngine.service) {
    std::erase(mServices[existing->description.service].engines, mEngineIndex[aEngine.id]);
    mServices[aEngine.service].engines.push_back(mEngineIndex[aEngine.id]);
    existing->models = &mServices[aEngine.service].models;
  }
  // Load reports are more recent than the configuration in what they say about the current role.
  const EngineRole role = existing->description.role;
  existing->description = aEngine;
  existing->description.role = role;
  existing->isRemoved = false;
  existing->SetLocality(mOptions);
  RefreshSummary(mEngineIndex[aEngine.id]);
}

void Router::State::RemoveEngine(const EngineId& aEngine)
{
  EngineRecord* existing = Find(aEngine);
  if (existing == nullptr) {
    return;
  }
  existing->isRemoved = true;
  RefreshSummary(mEngineIndex[aEngine]);
  mPrefixes.Clear(mEngineIndex[aEngine]);
}

void Router::State::SetClasses(const std::vector<ClassTargets>& aClasses)
{
  // The index of a class must not change, because requests in flight refer to it.
  for (const ClassTargets& item : aClasses) {
    const std::size_t index = ClassIndex(item.service, item.name);
    if (index < mClasses.size()) {
      mClasses[index] = item;
    } else {
      mClasses.push_back(item);
    }
  }
}

EngineRecord* Router::State::Find(const EngineId& aEngine)
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
    it->second.sentAt = aNow;
  }
}

void Router::State::OnTokens(RequestId aId, std::uint32_t aCount, Time aNow)
{
  const auto it = mInFlight.find(aId);
  if (it == mInFlight.end() || aCount == 0) {
    return;
  }
  InFlightRequest& request = it->second;
  EngineRecord& engine = mEngines[request.engine];
  if (request.receivedTokens == 0) {
    request.firstTokenAt = aNow;
    engine.load.Add({ 0.0, -request.uncachedTokens, 0.0 }, aNow);
    engine.breaker.OnSuccess(request.breakerGeneration, aNow);
    LatencyModel& model = (*engine.models)[static_cast<std::size_t>(request.role)];
    const double seconds = ToSeconds(aNow - request.sentAt) - engine.roundTrip;
    engine.firstTokenFactor.Learn(seconds,
                                  model.FirstToken(request.classIndex, request.firstTokenFeatures));
    model.LearnFirstToken(request.classIndex, request.firstTokenFeatures,
                          seconds / engine.firstTokenFactor.Value());
    for (const std::uint64_t hash : request.prefixHashes) {
      mPrefixes.Store(request.engine, hash);
    }
    RefreshSummary(request.engine);
  }
  request.receivedTokens += aCount;
}

void Router::State::OnFinished(RequestId aId, Time aNow)
{
  const auto it = mInFlight.find(aId);
  if (it == mInFlight.end()) {
    return;
  }
  const InFlightRequest request = std::move(it->second);
  mInFlight.erase(it);
  LearnFromAnswer(request, aNow);
  if (request.receivedTokens == 0) {
    mEngines[request.engine].breaker.OnSuccess(request.breakerGeneration, aNow);
  }
  ReleaseLoad(request, aNow);
}

void Router::State::LearnFromAnswer(const InFlightRequest& aRequest, Time aNow)
{
  EngineRecord& engine = mEngines[aRequest.engine];
  mOutputs.Learn(aRequest.classIndex, aRequest.account, aRequest.receivedTokens);
  if (aRequest.receivedTokens < 2) {
    return;
  }
  // The load changes during an answer, so the mean of the features at its start and end is used.
  BetweenTokensFeatures features = BetweenTokensFeaturesOf(engine.load.Load());
  for (std::size_t i = 0; i < features.size(); ++i) {
    features[i] = (features[i] + aRequest.betweenTokensFeatures[i]) / 2.0F;
  }
  LatencyModel& model = (*engine.models)[static_cast<std::size_t>(aRequest.role)];
  const double seconds = ToSeconds(aNow - aRequest.firstTokenAt) / (aRequest.receivedTokens - 1);
  engine.betweenTokensFactor.Learn(seconds, model.BetweenTokens(features));
  model.LearnBetweenTokens(features, seconds / engine.betweenTokensFactor.Value());
}

void Router::State::OnFailed(RequestId aId, FailureKind aKind, Time aNow)
{
  const auto it = mInFlight.find(aId);
  if (it == mInFlight.end()) {
    return;
  }
  const InFlightRequest request = std::move(it->second);
  mInFlight.erase(it);
  EngineRecord& engine = mEngines[request.engine];
  if (IsEngineFault(aKind)) {
    engine.breaker.OnFailure(request.breakerGeneration, aNow);
  } else {
    engine.breaker.OnAbandoned(request.breakerGeneration);
  }
  ReleaseLoad(request, aNow);
}

void Router::State::ReleaseLoad(const InFlightRequest& aRequest, Time aNow)
{
  EngineRecord& engine = mEngines[aRequest.engine];
  const double waiting = aRequest.receivedTokens == 0 ? -aRequest.uncachedTokens : 0.0;
  engine.load.Add({ -1.0, waiting, -aRequest.blocks }, aNow);
  --engine.localInFlight;
  aRequest.service->localTokens -= aRequest.promptTokens + aRequest.expectedOutputTokens;
  RefreshSummary(aRequest.engine);
}

void Router::State::OnLoadReport(const LoadReport& aReport, Time aNow)
{
  EngineRecord* engine = Find(aReport.engine);
  if (engine == nullptr) {
    return;
  }
  if (!engine->load.OnReport(aReport, engine->meanPromptTokens, aNow)) {
    return;
  }
  engine->description.role = aReport.role;
  engine->reportedState = aReport.state;
  // A report taken after the announcement shows that the engine is up again. A drain ends only by
  // another announcement.
  if (engine->announcedState != EngineState::Draining && aNow - aReport.age > engine->announcedAt) {
    engine->announcedState = EngineState::Ready;
  }
  RefreshSummary(mEngineIndex[aReport.engine]);
}

void Router::State::OnCacheEvent(const CacheEvent& aEvent)
{
  EngineRecord* engine = Find(aEvent.engine);
  if (engine == nullptr || aEvent.sequence <= engine->cacheSequence) {
    return;
  }
  const bool isGap = engine->cacheSequence != 0 && aEvent.sequence != engine->cacheSequence + 1;
  engine->cacheSequence = aEvent.sequence;
  engine->cacheConfidence = isGap ? engine->cacheConfidence * kGapConfidenceFactor
                                  : std::min(1.0, engine->cacheConfidence + kConfidenceIncrement);
  const std::size_t index = mEngineIndex[aEvent.engine];
  if (aEvent.kind == CacheEventKind::Stored) {
    mPrefixes.Store(index, aEvent.hash);
  } else {
    mPrefixes.Remove(index, aEvent.hash);
  }
  mSummaries[index].cacheConfidence = static_cast<float>(engine->cacheConfidence);
}

void Router::State::OnEngineState(const EngineId& aEngine, EngineState aState, Time aNow)
{
  EngineRecord* engine = Find(aEngine);
  if (engine != nullptr) {
    engine->announcedState = aState;
    engine->announcedAt = aNow;
    // An announced end of a drain is newer than the drain in the last report.
    engine->reportedState =
      aState == EngineState::Ready ? EngineState::Ready : engine->reportedState;
    RefreshSummary(mEngineIndex[aEngine]);
  }
}

} // namespace masticstep::routing
