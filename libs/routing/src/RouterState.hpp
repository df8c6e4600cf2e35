#pragma once

#include "EngineBelief.hpp"
#include "OutputPredictor.hpp"
#include "Prediction.hpp"
#include "PrefixIndex.hpp"
#include "masticstep/base/Random.hpp"
#include "masticstep/routing/Router.hpp"

#include <deque>
#include <optional>
#include <unordered_map>

namespace masticstep::routing {

// What is kept for one service. Nodes of the router's map keep their addresses.
struct ServiceState
{
  std::vector<std::size_t> engines;
  // Prompt and expected output tokens of own requests in flight.
  std::uint64_t ownTokens = 0;
  RoleModels models{ CostModel(EngineRole::Mixed), CostModel(EngineRole::Prefill),
                     CostModel(EngineRole::Decode) };
};

// A request that was chosen an engine and has not finished.
struct OpenRequest
{
  ServiceState* service = nullptr;
  std::size_t engine = 0;
  std::size_t classIndex = 0;
  AccountName account;
  EngineRole role = EngineRole::Mixed;
  std::uint32_t breakerGeneration = 0;
  double uncachedTokens = 0.0;
  double blocks = 0.0;
  std::uint32_t promptTokens = 0;
  std::uint32_t outputExpected = 0;
  std::uint32_t tokens = 0;
  Time sent;
  Time firstToken;
  FirstTokenFeatures firstTokenFeatures{};
  BetweenTokensFeatures betweenFeatures{};
  std::vector<std::uint64_t> prefixHashes;
};

class Router::State
{
public:
  explicit State(RouterOptions aOptions);

  void SetEngine(const EngineDescription& aEngine);
  void RemoveEngine(const EngineId& aEngine);
  void SetClasses(const std::vector<ClassTargets>& aClasses);

  Result<RouteDecision, RouteError> Choose(const RouteRequest& aRequest, Time aNow);
  void OnDispatched(RequestId aId, Time aNow);
  void OnTokens(RequestId aId, std::uint32_t aCount, Time aNow);
  void OnFinished(RequestId aId, Time aNow);
  void OnFailed(RequestId aId, FailureKind aKind, Time aNow);
  void OnLoadReport(const LoadReport& aReport, Time aNow);
  void OnCacheEvent(const CacheEvent& aEvent);
  void OnEngineState(const EngineId& aEngine, EngineState aState, Time aNow);

  std::uint32_t PredictOutput(const ServiceName& aService, const ClassName& aClass,
                              const AccountName& aAccount, std::uint32_t aMaxTokens) const;
  ServiceCapacity CapacityOf(const ServiceName& aService, Time aNow) const;
  std::vector<EngineView> Engines(Time aNow) const;
  std::size_t InFlightCount() const { return mInFlight.size(); }

private:
  struct Candidate
  {
    std::uint32_t engine = 0;
    float cost = 0.0F;
  };
  EngineBelief* Find(const EngineId& aEngine);
  std::size_t ClassIndex(const ServiceName& aService, const ClassName& aClass) const;
  Demand DemandOf(const RouteRequest& aRequest, std::size_t aClass, Time aNow) const;
  bool IsUsable(const EngineBelief& aEngine, const RouteRequest& aRequest, Time aNow) const;
  float CachedTokens(std::size_t aEngine, float aTokensPerHash) const;
  void Score(const RouteRequest& aRequest, const Demand& aDemand,
             const std::vector<std::size_t>& aEngines, float aTokensPerHash, Time aNow);
  const Candidate* Pick();
  RouteDecision Commit(const RouteRequest& aRequest, const Demand& aDemand, std::size_t aClass,
                       std::size_t aEngine, const Prediction& aPrediction, float aCachedTokens,
                       Time aNow);
  void LearnAnswer(const OpenRequest& aRequest, Time aNow);
  // Renews the summary after a change of the belief.
  void Refresh(std::size_t aEngine) { mSummaries[aEngine] = mEngines[aEngine].Summary(); }
  // Takes the request's load off its engine.
  void Release(const OpenRequest& aRequest, Time aNow);

  RouterOptions mOptions;
  Random mRandom;
  std::deque<EngineBelief> mEngines;
  std::vector<EngineSummary> mSummaries;
  std::unordered_map<EngineId, std::size_t> mEngineIndex;
  std::unordered_map<ServiceName, ServiceState> mServices;
  std::vector<ClassTargets> mClasses;
  std::unordered_map<RequestId, OpenRequest> mInFlight;
  PrefixIndex mPrefixes;
  OutputPredictor mOutputs;
  // Kept between decisions so that none allocates them.
  std::vector<Candidate> mCandidates;
  std::vector<std::uint32_t> mNear;
  std::vector<std::uint32_t> mMatched;
};

} // namespace masticstep::routing
