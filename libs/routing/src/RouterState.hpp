#pragma once

#include "EngineRecord.hpp"
#include "OutputPredictor.hpp"
#include "Prediction.hpp"
#include "PrefixIndex.hpp"
#include "masticstep/base/Random.hpp"
#include "masticstep/routing/Router.hpp"

#include <deque>
#include <optional>
#include <unordered_map>

namespace masticstep::routing {

// State of one service. Pointers to it stay valid, because the router's map is node-based.
struct ServiceState
{
  std::vector<std::size_t> engines;
  // Prompt and expected output tokens of this router's requests in flight.
  std::uint64_t localTokens = 0;
  RoleLatencyModels models{ LatencyModel(EngineRole::Mixed), LatencyModel(EngineRole::Prefill),
                            LatencyModel(EngineRole::Decode) };
};

// A request that has been assigned to an engine and has not finished.
struct InFlightRequest
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
  std::uint32_t expectedOutputTokens = 0;
  std::uint32_t receivedTokens = 0;
  Time sentAt;
  Time firstTokenAt;
  FirstTokenFeatures firstTokenFeatures{};
  BetweenTokensFeatures betweenTokensFeatures{};
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
  EngineRecord* Find(const EngineId& aEngine);
  std::size_t ClassIndex(const ServiceName& aService, const ClassName& aClass) const;
  Demand DemandOf(const RouteRequest& aRequest, std::size_t aClass, Time aNow) const;
  bool IsUsable(const EngineRecord& aEngine, const RouteRequest& aRequest, Time aNow) const;
  float CachedTokens(std::size_t aEngine, float aTokensPerHash) const;
  void ScoreCandidates(const RouteRequest& aRequest, const Demand& aDemand,
                       const std::vector<std::size_t>& aEngines, float aTokensPerHash, Time aNow);
  const Candidate* PickCandidate();
  RouteDecision RecordDecision(const RouteRequest& aRequest, const Demand& aDemand,
                               std::size_t aClass, std::size_t aEngine,
                               const Prediction& aPrediction, float aCachedTokens, Time aNow);
  void LearnFromAnswer(const InFlightRequest& aRequest, Time aNow);
  // Updates the summary after a change of the record.
  void RefreshSummary(std::size_t aEngine) { mSummaries[aEngine] = mEngines[aEngine].Summary(); }
  // Removes the request's load from its engine.
  void ReleaseLoad(const InFlightRequest& aRequest, Time aNow);

  RouterOptions mOptions;
  Random mRandom;
  std::deque<EngineRecord> mEngines;
  std::vector<EngineSummary> mSummaries;
  std::unordered_map<EngineId, std::size_t> mEngineIndex;
  std::unordered_map<ServiceName, ServiceState> mServices;
  std::vector<ClassTargets> mClasses;
  std::unordered_map<RequestId, InFlightRequest> mInFlight;
  PrefixIndex mPrefixes;
  OutputPredictor mOutputs;
  // Buffers reused by each decision to avoid allocations.
  std::vector<Candidate> mCandidates;
  std::vector<std::uint32_t> mNearBest;
  std::vector<std::uint32_t> mMatched;
};

} // namespace masticstep::routing
