#include "RouterState.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace masticstep::routing {

namespace {

// Number of prompt tokens that take as much engine time as one output token. In the batching model
// of the benchmarks, an output token takes 0.35 ms and a prompt token 0.135 ms.
constexpr float kPromptTokensPerOutputToken = 2.6F;
// Exceeds any other cost, so that engines on which the request would be late rank last.
constexpr float kOverloadCost = 100.0F;
// Smoothing factor of an engine's mean prompt length.
constexpr double kMeanPromptSmoothing = 0.05;
// Engines whose cost is within this margin of the best count as equal, because load reports are too
// stale to tell them apart.
constexpr float kTieMargin = 0.10F;
constexpr float kTieFraction = 0.15F;

Duration ToDuration(double aSeconds)
{
  return FromSeconds(std::min(aSeconds, 86400.0));
}

RouteError Error(RouteErrorKind aKind, std::string aMessage)
{
  return { aKind, std::move(aMessage) };
}

} // namespace

Result<RouteDecision, RouteError> Router::State::Choose(const RouteRequest& aRequest, Time aNow)
{
  const auto service = mServices.find(aRequest.service);
  if (service == mServices.end()) {
    return Failure(Error(RouteErrorKind::UnknownService,
                         "service '" + aRequest.service.Text() + "' has no engines"));
  }
  if (mInFlight.contains(aRequest.id)) {
    return Failure(Error(RouteErrorKind::AlreadyInFlight, "request id is in flight"));
  }
  const std::size_t classIndex = ClassIndex(aRequest.service, aRequest.className);
  Demand demand = DemandOf(aRequest, classIndex, aNow);
  for (std::size_t role = 0; role < kEngineRoles; ++role) {
    demand.weights[role] = service->second.models[role].FirstTokenWeights(classIndex);
  }
  const std::size_t hashes = aRequest.prefixHashes.size();
  const float tokensPerHash = hashes == 0 ? 0.0F : demand.promptTokens / static_cast<float>(hashes);
  ScoreCandidates(aRequest, demand, service->second.engines, tokensPerHash, aNow);
  const Candidate* chosen = PickCandidate();
  if (chosen == nullptr) {
    return Failure(Error(RouteErrorKind::NoEngine,
                         "no engine of service '" + aRequest.service.Text() + "' is ready"));
  }
  const float cached = CachedTokens(chosen->engine, tokensPerHash);
  const Prediction prediction = Predict(mSummaries[chosen->engine], demand, cached);
  if (prediction.completion > demand.timeToDeadline) {
    return Failure(
      Error(RouteErrorKind::DeadlineCannotBeMet, "predicted completion is after the deadline"));
  }
  if (mOptions.shedFactor > 0.0 && IsLateDueToLoad(demand, prediction, mOptions.shedFactor)) {
    return Failure(Error(RouteErrorKind::Overload, "all engines of service '" +
                                                     aRequest.service.Text() + "' are too loaded"));
  }
  return RecordDecision(aRequest, demand, classIndex, chosen->engine, prediction, cached, aNow);
}

Demand Router::State::DemandOf(const RouteRequest& aRequest, std::size_t aClass, Time aNow) const
{
  const ClassTargets targets = aClass < mClasses.size() ? mClasses[aClass] : ClassTargets{};
  constexpr float kMinimumTargetSeconds = 0.001F;
  Demand demand;
  demand.classIndex = aClass;
  demand.promptTokens = static_cast<float>(aRequest.promptTokens);
  demand.outputTokens =
    static_cast<float>(mOutputs.Predict(aClass, aRequest.account, aRequest.maxTokens));
  demand.firstTokenTarget =
    std::max(kMinimumTargetSeconds, static_cast<float>(ToSeconds(targets.firstToken)));
  demand.betweenTokensTarget =
    std::max(kMinimumTargetSeconds, static_cast<float>(ToSeconds(targets.betweenTokens)));
  const bool isPromptHeavy =
    demand.promptTokens > kPromptTokensPerOutputToken * demand.outputTokens;
  demand.unsuitableRole =
    static_cast<std::uint8_t>(isPromptHeavy ? EngineRole::Decode : EngineRole::Prefill);
  demand.timeToDeadline = static_cast<float>(ToSeconds(aRequest.deadline - aNow));
  demand.timeSinceArrival = std::max(0.0F, static_cast<float>(ToSeconds(aNow - aRequest.arrived)));
  demand.blocks = std::ceil((demand.promptTokens + demand.outputTokens) /
                            static_cast<float>(mOptions.tokensPerBlock));
  return demand;
}

bool Router::State::IsUsable(const EngineRecord& aEngine, const RouteRequest& aRequest,
                             Time aNow) const
{
  if (aEngine.State() != EngineState::Ready || aEngine.isRemoved) {
    return false;
  }
  if (mOptions.ejection && !aEngine.breaker.Allows(aNow)) {
    return false;
  }
  const std::vector<EngineId>& excluded = aRequest.excluded;
  return excluded.empty() ||
         std::find(excluded.begin(), excluded.end(), aEngine.description.id) == excluded.end();
}

float Router::State::CachedTokens(std::size_t aEngine, float aTokensPerHash) const
{
  // Without hashes, mMatched still holds the result of an earlier request.
  return aTokensPerHash <= 0.0F ? 0.0F
                                : static_cast<float>(mMatched[aEngine]) * aTokensPerHash *
                                    mSummaries[aEngine].cacheConfidence;
}

void Router::State::ScoreCandidates(const RouteRequest& aRequest, const Demand& aDemand,
                                    const std::vector<std::size_t>& aEngines, float aTokensPerHash,
                                    Time aNow)
{
  mCandidates.clear();
  if (aTokensPerHash > 0.0F) {
    mPrefixes.Match(aRequest.prefixHashes, mMatched);
  }
  for (const std::size_t index : aEngines) {
    const EngineSummary& engine = mSummaries[index];
    const bool isTriviallyUsable =
      engine.isUsable && engine.isBreakerClosed && aRequest.excluded.empty();
    if (!isTriviallyUsable && !IsUsable(mEngines[index], aRequest, aNow)) {
      continue;
    }
    const Prediction prediction = Predict(engine, aDemand, CachedTokens(index, aTokensPerHash));
    const bool isLate =
      mOptions.shedFactor > 0.0 && IsLateDueToLoad(aDemand, prediction, mOptions.shedFactor);
    const float cost = CostOf(engine, aDemand, prediction) + (isLate ? kOverloadCost : 0.0F);
    mCandidates.push_back({ static_cast<std::uint32_t>(index), cost });
  }
}

// Power of two random choices among the engines close to the best. If every daemon chose the best
// engine, all daemons with the same stale reports would choose the same one.
const Router::State::Candidate* Router::State::PickCandidate()
{
  if (mCandidates.empty()) {
    return nullptr;
  }
  float best = std::numeric_limits<float>::max();
  for (const Candidate& candidate : mCandidates) {
    best = std::min(best, candidate.cost);
  }
  const float limit = best + kTieMargin + kTieFraction * best;
  mNearBest.clear();
  for (std::uint32_t i = 0; i < mCandidates.size(); ++i) {
    if (mCandidates[i].cost <= limit) {
      mNearBest.push_back(i);
    }
  }
  const Candidate& first = mCandidates[mNearBest[mRandom.Below(mNearBest.size())]];
  const Candidate& second = mCandidates[mNearBest[mRandom.Below(mNearBest.size())]];
  return first.cost <= second.cost ? &first : &second;
}

RouteDecision Router::State::RecordDecision(const RouteRequest& aRequest, const Demand& aDemand,
                                            std::size_t aClass, std::size_t aEngine,
                                            const Prediction& aPrediction, float aCachedTokens,
                                            Time aNow)
{
  EngineRecord& engine = mEngines[aEngine];
  const EngineLoad load = engine.load.Load();
  InFlightRequest& request = mInFlight[aRequest.id];
  request.engine = aEngine;
  request.classIndex = aClass;
  request.account = aRequest.account;
  request.role = engine.description.role;
  request.promptTokens = aRequest.promptTokens;
  request.expectedOutputTokens = static_cast<std::uint32_t>(aDemand.outputTokens);
  request.uncachedTokens = std::max(0.0F, aDemand.promptTokens - aCachedTokens);
  request.blocks = aDemand.blocks;
  request.sentAt = aNow;
  request.firstTokenFeatures = FirstTokenFeaturesOf(load, request.uncachedTokens);
  request.betweenTokensFeatures = BetweenTokensFeaturesOf(load);
  request.prefixHashes = aRequest.prefixHashes;

  request.service = &mServices[aRequest.service];
  request.service->localTokens += request.promptTokens + request.expectedOutputTokens;
  engine.meanPromptTokens +=
    kMeanPromptSmoothing * (request.uncachedTokens - engine.meanPromptTokens);
  engine.load.Add({ 1.0, request.uncachedTokens, request.blocks }, aNow);
  ++engine.localInFlight;

  RouteDecision decision;
  decision.isProbe = engine.breaker.StateAt(aNow) == CircuitBreaker::State::HalfOpen;
  request.breakerGeneration = engine.breaker.OnSent(aNow);
  RefreshSummary(aEngine);
  decision.engine = engine.description.id;
  decision.firstToken = ToDuration(aPrediction.firstToken);
  decision.betweenTokens = ToDuration(aPrediction.betweenTokens);
  decision.completion = ToDuration(aPrediction.completion);
  decision.outputTokens = request.expectedOutputTokens;
  decision.cachedTokens = static_cast<std::uint32_t>(aCachedTokens);
  decision.meetsTargets = MeetsTargets(aDemand, aPrediction);
  return decision;
}

std::uint32_t Router::State::PredictOutput(const ServiceName& aService, const ClassName& aClass,
                                           const AccountName& aAccount,
                                           std::uint32_t aMaxTokens) const
{
  return static_cast<std::uint32_t>(
    mOutputs.Predict(ClassIndex(aService, aClass), aAccount, aMaxTokens));
}

ServiceCapacity Router::State::CapacityOf(const ServiceName& aService, Time aNow) const
{
  ServiceCapacity capacity;
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return capacity;
  }
  const RouteRequest anyRequest;
  double freeBlocks = 0.0;
  for (const std::size_t index : service->second.engines) {
    const EngineRecord& engine = mEngines[index];
    if (IsUsable(engine, anyRequest, aNow)) {
      ++capacity.readyEngines;
      freeBlocks += engine.load.TotalBlocks() - engine.load.Load().usedBlocks;
    }
  }
  capacity.freeTokens = static_cast<std::uint64_t>(freeBlocks * mOptions.tokensPerBlock);
  capacity.localTokensInFlight = service->second.localTokens;
  return capacity;
}

std::vector<EngineView> Router::State::Engines(Time aNow) const
{
  std::vector<EngineView> views;
  for (const EngineRecord& engine : mEngines) {
    if (engine.isRemoved) {
      continue;
    }
    const EngineLoad load = engine.load.Load();
    EngineView view;
    view.id = engine.description.id;
    view.role = engine.description.role;
    view.state = engine.State();
    view.isEjected = mOptions.ejection && !engine.breaker.Allows(aNow);
    view.localInFlight = engine.localInFlight;
    view.running = load.running;
    view.waitingTokens = load.waitingTokens;
    view.freeBlocks = engine.load.TotalBlocks() - load.usedBlocks;
    views.push_back(std::move(view));
  }
  return views;
}

} // namespace masticstep::routing
