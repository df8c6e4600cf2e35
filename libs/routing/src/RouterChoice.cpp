#include "RouterState.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace masticstep::routing {

namespace {

// Weight of the newest request in an engine's mean prompt length.
constexpr double kMeanStep = 0.05;
// Engines within this cost of the best are equal as far as stale reports can tell.
constexpr double kNearMargin = 0.05;
constexpr double kNearShare = 0.15;

Duration Span(double aSeconds)
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
  const Demand demand = DemandOf(aRequest, classIndex, aNow);
  Score(aRequest, demand, service->second.engines, aNow);
  const Candidate* chosen = Pick();
  if (chosen == nullptr) {
    return Failure(Error(RouteErrorKind::NoEngine,
                         "no engine of service '" + aRequest.service.Text() + "' is ready"));
  }
  if (chosen->prediction.completion > demand.deadlineSpan) {
    return Failure(
      Error(RouteErrorKind::DeadlineCannotBeMet, "predicted completion is after the deadline"));
  }
  if (mOptions.shedFactor > 0.0 && IsLateByLoad(demand, chosen->prediction, mOptions.shedFactor)) {
    return Failure(Error(RouteErrorKind::Overload, "all engines of service '" +
                                                     aRequest.service.Text() + "' are too loaded"));
  }
  return Commit(aRequest, demand, classIndex, *chosen, aNow);
}

Demand Router::State::DemandOf(const RouteRequest& aRequest, std::size_t aClass, Time aNow) const
{
  const ClassTargets targets = aClass < mClasses.size() ? mClasses[aClass] : ClassTargets{};
  Demand demand;
  demand.classIndex = aClass;
  demand.promptTokens = aRequest.promptTokens;
  demand.outputTokens = mOutputs.Predict(aClass, aRequest.account, aRequest.maxTokens);
  demand.firstTokenTarget = std::max(1e-3, ToSeconds(targets.firstToken));
  demand.betweenTarget = std::max(1e-3, ToSeconds(targets.betweenTokens));
  demand.deadlineSpan = ToSeconds(aRequest.deadline - aNow);
  demand.waited = std::max(0.0, ToSeconds(aNow - aRequest.arrived));
  demand.tokensPerBlock = mOptions.tokensPerBlock;
  return demand;
}

bool Router::State::IsUsable(const EngineBelief& aEngine, const RouteRequest& aRequest,
                             Time aNow) const
{
  if (aEngine.state != EngineState::Ready || aEngine.isRemoved) {
    return false;
  }
  if (mOptions.ejection && !aEngine.breaker.Allows(aNow)) {
    return false;
  }
  const std::vector<EngineId>& excluded = aRequest.excluded;
  return excluded.empty() ||
         std::find(excluded.begin(), excluded.end(), aEngine.description.id) == excluded.end();
}

void Router::State::Score(const RouteRequest& aRequest, const Demand& aDemand,
                          const std::vector<std::size_t>& aEngines, Time aNow)
{
  mCandidates.clear();
  const std::size_t hashes = aRequest.prefixHashes.size();
  const double tokensPerHash = hashes == 0 ? 0.0 : aDemand.promptTokens / hashes;
  if (hashes > 0) {
    mPrefixes.Match(aRequest.prefixHashes, mMatched);
  }
  for (const std::size_t index : aEngines) {
    const EngineBelief& engine = mEngines[index];
    if (!IsUsable(engine, aRequest, aNow)) {
      continue;
    }
    Candidate candidate;
    candidate.engine = index;
    candidate.cachedTokens = hashes > 0 ? mMatched[index] * tokensPerHash * engine.cacheTrust : 0.0;
    candidate.prediction = Predict(engine, aDemand, candidate.cachedTokens);
    candidate.cost = CostOf(engine, aDemand, candidate.prediction);
    mCandidates.push_back(candidate);
  }
}

// Daemons with the same stale reports would all choose the best engine. Each takes the better of
// two random candidates among those near the best instead.
const Router::State::Candidate* Router::State::Pick()
{
  if (mCandidates.empty()) {
    return nullptr;
  }
  double best = std::numeric_limits<double>::max();
  for (const Candidate& candidate : mCandidates) {
    best = std::min(best, candidate.cost);
  }
  const double limit = best + kNearMargin + kNearShare * best;
  mNear.clear();
  for (std::size_t i = 0; i < mCandidates.size(); ++i) {
    if (mCandidates[i].cost <= limit) {
      mNear.push_back(i);
    }
  }
  const Candidate& first = mCandidates[mNear[mRandom.Below(mNear.size())]];
  const Candidate& second = mCandidates[mNear[mRandom.Below(mNear.size())]];
  return first.cost <= second.cost ? &first : &second;
}

RouteDecision Router::State::Commit(const RouteRequest& aRequest, const Demand& aDemand,
                                    std::size_t aClass, const Candidate& aChosen, Time aNow)
{
  EngineBelief& engine = mEngines[aChosen.engine];
  const EngineLoad load = engine.load.Load();
  OpenRequest& request = mInFlight[aRequest.id];
  request.engine = aChosen.engine;
  request.classIndex = aClass;
  request.account = aRequest.account;
  request.role = engine.description.role;
  request.promptTokens = aRequest.promptTokens;
  request.outputExpected = static_cast<std::uint32_t>(aDemand.outputTokens);
  request.uncachedTokens = std::max(0.0, aDemand.promptTokens - aChosen.cachedTokens);
  request.blocks =
    std::ceil((aDemand.promptTokens + aDemand.outputTokens) / aDemand.tokensPerBlock);
  request.sent = aNow;
  request.firstTokenFeatures = FirstTokenFeaturesOf(load, request.uncachedTokens);
  request.betweenFeatures = BetweenTokensFeaturesOf(load);
  request.prefixHashes = aRequest.prefixHashes;

  engine.meanPromptTokens += kMeanStep * (request.uncachedTokens - engine.meanPromptTokens);
  engine.load.Add({ 1.0, request.uncachedTokens, request.blocks }, aNow);
  ++engine.ownInFlight;

  RouteDecision decision;
  decision.isProbe = engine.breaker.PhaseAt(aNow) == EngineBreaker::Phase::HalfOpen;
  request.breakerGeneration = engine.breaker.OnSent(aNow);
  decision.engine = engine.description.id;
  decision.firstToken = Span(aChosen.prediction.firstToken);
  decision.betweenTokens = Span(aChosen.prediction.betweenTokens);
  decision.completion = Span(aChosen.prediction.completion);
  decision.outputTokens = request.outputExpected;
  decision.cachedTokens = static_cast<std::uint32_t>(aChosen.cachedTokens);
  decision.meetsTargets = MeetsTargets(aDemand, aChosen.prediction);
  return decision;
}

std::uint32_t Router::State::PredictOutput(const ServiceName& aService, const ClassName& aClass,
                                           const AccountName& aAccount,
                                           std::uint32_t aMaxTokens) const
{
  return static_cast<std::uint32_t>(
    mOutputs.Predict(ClassIndex(aService, aClass), aAccount, aMaxTokens));
}

ServiceRoom Router::State::Room(const ServiceName& aService, Time aNow) const
{
  ServiceRoom room;
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return room;
  }
  const RouteRequest anyRequest;
  double freeBlocks = 0.0;
  for (const std::size_t index : service->second.engines) {
    const EngineBelief& engine = mEngines[index];
    if (IsUsable(engine, anyRequest, aNow)) {
      ++room.readyEngines;
      freeBlocks += engine.load.TotalBlocks() - engine.load.Load().usedBlocks;
    }
  }
  room.freeTokens = static_cast<std::uint64_t>(freeBlocks * mOptions.tokensPerBlock);
  for (const std::pair<const RequestId, OpenRequest>& item : mInFlight) {
    if (mEngines[item.second.engine].description.service == aService) {
      room.ownTokensInFlight += item.second.promptTokens + item.second.outputExpected;
    }
  }
  return room;
}

std::vector<EngineView> Router::State::Engines(Time aNow) const
{
  std::vector<EngineView> views;
  for (const EngineBelief& engine : mEngines) {
    if (engine.isRemoved) {
      continue;
    }
    const EngineLoad load = engine.load.Load();
    EngineView view;
    view.id = engine.description.id;
    view.role = engine.description.role;
    view.state = engine.state;
    view.isEjected = mOptions.ejection && !engine.breaker.Allows(aNow);
    view.ownInFlight = engine.ownInFlight;
    view.running = load.running;
    view.waitingTokens = load.waitingTokens;
    view.freeBlocks = engine.load.TotalBlocks() - load.usedBlocks;
    views.push_back(std::move(view));
  }
  return views;
}

} // namespace masticstep::routing
