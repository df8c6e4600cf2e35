#pragma once

#include "CostModel.hpp"
#include "EngineSummary.hpp"

#include <algorithm>
#include <array>

namespace masticstep::routing {

// What one request is expected to need, whichever engine runs it. Times in seconds.
struct Demand
{
  std::size_t classIndex = 0;
  float promptTokens = 0.0F;
  float outputTokens = 0.0F;
  float firstTokenTarget = 1.1F;
  float betweenTarget = 0.067F;
  float deadlineSpan = 30.0F; // left until the deadline
  float waited = 0.0F;        // since arrival
  float blocks = 0.0F;        // KV blocks at its end
  // Role that does not suit the request.
  std::uint8_t unsuitedRole = 0;
  // Weights of the class's first-token model by role.
  std::array<FirstTokenFeatures, kEngineRoles> weights{};
};

// Expected course of a request on one engine, in seconds from now.
struct Prediction
{
  float firstToken = 0.0F;
  float betweenTokens = 0.0F;
  float completion = 0.0F;
  // First token on the same engine without any other work.
  float idleFirstToken = 0.0F;
  float promptSeconds = 0.0F; // engine time of the tokens that are not cached
};

// Inline, since a decision calls it for every engine.
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
  const float missing = aDemand.blocks - aEngine.freeBlocks;
  if (missing > 0.0F) {
    // Until enough KV blocks are released, if those in use are released evenly.
    const float residence = std::max(0.1F, aDemand.outputTokens * aEngine.betweenTokens);
    prediction.firstToken += residence * missing / std::max(1.0F, aEngine.usedBlocks);
  }
  prediction.completion = prediction.firstToken + aDemand.outputTokens * prediction.betweenTokens;
  return prediction;
}

// Whether the engine's load, and not the request's own length, makes the first token later than
// aFactor times its target.
bool IsLateByLoad(const Demand& aDemand, const Prediction& aPrediction, double aFactor);

bool MeetsTargets(const Demand& aDemand, const Prediction& aPrediction);

// Predictions err by about this share, so the penalty starts below the target.
constexpr float kSafeShare = 0.6F;
constexpr float kMissWeight = 4.0F;
// Slope below the safe share, which still prefers the less loaded engine.
constexpr float kSafeSlope = 0.1F;
constexpr float kWorkWeight = 0.5F;
// A long prompt on a decode engine and a stream on a prefill engine suffer from what arrives after
// them, which no prediction at the start shows.
constexpr float kUnsuitedCost = 0.4F;

// Share of KV blocks in use from which later streams of the engine must wait for blocks.
constexpr float kFullShare = 0.6F;
constexpr float kFullWeight = 0.5F;

// Penalty of using aShare of a target.
inline float Penalty(float aShare)
{
  const float over = std::max(0.0F, aShare - kSafeShare);
  return kSafeSlope * aShare + kMissWeight * over * over;
}

// Cost of the choice without unit; 1 is about one missed target. Lower is better.
inline float CostOf(const EngineSummary& aEngine, const Demand& aDemand,
                    const Prediction& aPrediction)
{
  const float first = (aDemand.waited + aPrediction.firstToken) / aDemand.firstTokenTarget;
  const float between = aPrediction.betweenTokens / aDemand.betweenTarget;
  const float role = aEngine.role == aDemand.unsuitedRole ? kUnsuitedCost : 0.0F;
  const float total = aEngine.usedBlocks + aEngine.freeBlocks;
  const float used = (aEngine.usedBlocks + aDemand.blocks) / std::max(1.0F, total);
  const float full = kFullWeight * std::max(0.0F, used - kFullShare);
  return Penalty(first) + Penalty(between) + role + full + kWorkWeight * aPrediction.promptSeconds +
         aEngine.zoneCost;
}

} // namespace masticstep::routing
