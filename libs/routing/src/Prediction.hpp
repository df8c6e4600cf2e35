#pragma once

#include "EngineSummary.hpp"
#include "LatencyModel.hpp"

#include <algorithm>
#include <array>

namespace masticstep::routing {

// Expected resource needs and targets of one request, independent of the engine. Times are in
// seconds.
struct Demand
{
  std::size_t classIndex = 0;
  float promptTokens = 0.0F;
  float outputTokens = 0.0F;
  float firstTokenTarget = 1.1F;
  float betweenTokensTarget = 0.067F;
  float timeToDeadline = 30.0F;
  float timeSinceArrival = 0.0F;
  float blocks = 0.0F; // KV blocks in use at the end of the request
  // Engine role that does not suit the request.
  std::uint8_t unsuitableRole = 0;
  // Weights of the class's first-token model, by role.
  std::array<FirstTokenFeatures, kEngineRoles> weights{};
};

// Predicted latencies of a request on one engine, in seconds from now.
struct Prediction
{
  float firstToken = 0.0F;
  float betweenTokens = 0.0F;
  float completion = 0.0F;
  // Time to the first token on the same engine if it were idle.
  float idleFirstToken = 0.0F;
  float promptSeconds = 0.0F; // engine time for the uncached prompt tokens
};

// Inline, because each decision calls it for every engine.
inline Prediction Predict(const EngineSummary& aEngine, const Demand& aDemand, float aCachedTokens)
{
  const FirstTokenFeatures& weights = aDemand.weights[aEngine.role];
  const float uncached = std::max(0.0F, aDemand.promptTokens - aCachedTokens);
  const EngineLoad load{ aEngine.running, aEngine.waitingTokens, 0.0 };
  const FirstTokenFeatures features = FirstTokenFeaturesOf(load, uncached);
  const float idle = weights[0] + weights[1] * features[1];
  const float loaded = idle + weights[2] * features[2] + weights[3] * features[3];
  Prediction prediction;
  prediction.betweenTokens = aEngine.betweenTokens;
  prediction.promptSeconds = weights[1] * features[1];
  prediction.idleFirstToken = aEngine.roundTrip + aEngine.firstTokenFactor * idle;
  prediction.firstToken = aEngine.roundTrip + aEngine.firstTokenFactor * loaded;
  const float missingBlocks = aDemand.blocks - aEngine.freeBlocks;
  if (missingBlocks > 0.0F) {
    // Time until enough KV blocks are free, assuming that those in use are released at an even
    // rate.
    const float residence = std::max(0.1F, aDemand.outputTokens * aEngine.betweenTokens);
    prediction.firstToken += residence * missingBlocks / std::max(1.0F, aEngine.usedBlocks);
  }
  prediction.completion = prediction.firstToken + aDemand.outputTokens * prediction.betweenTokens;
  return prediction;
}

// Returns whether the engine's load, and not the length of the request itself, delays the first
// token beyond aShedFactor times its target.
bool IsLateDueToLoad(const Demand& aDemand, const Prediction& aPrediction, double aShedFactor);

bool MeetsTargets(const Demand& aDemand, const Prediction& aPrediction);

// Predictions can be wrong by about this fraction, so the penalty starts to rise below the target.
constexpr float kPenaltyThreshold = 0.6F;
constexpr float kOvershootWeight = 4.0F;
// Slope below the threshold, so that the less loaded engine is still preferred.
constexpr float kBaseSlope = 0.1F;
constexpr float kPromptTimeWeight = 0.5F;
// Long prompts on a decode engine and streams on a prefill engine are delayed by requests that
// arrive later, which a prediction made at the start does not show.
constexpr float kUnsuitableRoleCost = 0.4F;

// Fraction of KV blocks in use above which later streams on the engine must wait for blocks.
constexpr float kBlockUseThreshold = 0.6F;
constexpr float kBlockUseWeight = 0.5F;

// Returns the penalty for using the fraction aShare of a latency target.
inline float Penalty(float aShare)
{
  const float over = std::max(0.0F, aShare - kPenaltyThreshold);
  return kBaseSlope * aShare + kOvershootWeight * over * over;
}

// Returns the dimensionless cost of choosing the engine. Lower is better; a missed target costs
// about 1.
inline float CostOf(const EngineSummary& aEngine, const Demand& aDemand,
                    const Prediction& aPrediction)
{
  const float first =
    (aDemand.timeSinceArrival + aPrediction.firstToken) / aDemand.firstTokenTarget;
  const float between = aPrediction.betweenTokens / aDemand.betweenTokensTarget;
  const float role = aEngine.role == aDemand.unsuitableRole ? kUnsuitableRoleCost : 0.0F;
  const float total = aEngine.usedBlocks + aEngine.freeBlocks;
  const float used = (aEngine.usedBlocks + aDemand.blocks) / std::max(1.0F, total);
  const float blockUseCost = kBlockUseWeight * std::max(0.0F, used - kBlockUseThreshold);
  return Penalty(first) + Penalty(between) + role + blockUseCost +
         kPromptTimeWeight * aPrediction.promptSeconds + aEngine.regionCost;
}

} // namespace masticstep::routing
