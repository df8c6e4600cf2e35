#include "Prediction.hpp"

#include <algorithm>

namespace masticstep::routing {

namespace {

// Predictions err by about this share, so the penalty starts below the target.
constexpr double kSafeShare = 0.6;
constexpr double kMissWeight = 4.0;
// Slope below the safe share, which still prefers the less loaded engine.
constexpr double kSafeSlope = 0.1;
// Part of the target that waiting must take before a late request counts as late by load.
constexpr double kLoadShare = 0.5;
constexpr double kWorkWeight = 0.5;

// Penalty of using aShare of a target.
double Penalty(double aShare)
{
  const double over = std::max(0.0, aShare - kSafeShare);
  return kSafeSlope * aShare + kMissWeight * over * over;
}

// Seconds until enough KV blocks are released for the request.
double BlockWait(const EngineLoad& aLoad, double aTotalBlocks, const Demand& aDemand,
                 double aBetween)
{
  const double needed = (aDemand.promptTokens + aDemand.outputTokens) / aDemand.tokensPerBlock;
  const double missing = needed - (aTotalBlocks - aLoad.usedBlocks);
  if (missing <= 0.0) {
    return 0.0;
  }
  const double residence = std::max(0.1, aDemand.outputTokens * aBetween);
  return residence * missing / std::max(1.0, aLoad.usedBlocks);
}

} // namespace

Prediction Predict(const EngineBelief& aEngine, const Demand& aDemand, double aCachedTokens)
{
  const EngineLoad load = aEngine.load.Load();
  const CostModel& model = aEngine.Model();
  const double uncached = std::max(0.0, aDemand.promptTokens - aCachedTokens);
  Prediction prediction;
  const double factor = aEngine.firstTokenFactor.Value();
  prediction.betweenTokens =
    aEngine.betweenFactor.Value() * model.BetweenTokens(BetweenTokensFeaturesOf(load));
  prediction.promptSeconds = uncached * model.SecondsPerPromptToken(aDemand.classIndex);
  prediction.firstToken =
    aEngine.roundTrip +
    factor * model.FirstToken(aDemand.classIndex, FirstTokenFeaturesOf(load, uncached)) +
    BlockWait(load, aEngine.load.TotalBlocks(), aDemand, prediction.betweenTokens);
  prediction.idleFirstToken =
    aEngine.roundTrip +
    factor * model.FirstToken(aDemand.classIndex, FirstTokenFeaturesOf({}, uncached));
  prediction.completion = prediction.firstToken + aDemand.outputTokens * prediction.betweenTokens;
  return prediction;
}

double CostOf(const EngineBelief& aEngine, const Demand& aDemand, const Prediction& aPrediction)
{
  const double first = (aDemand.waited + aPrediction.firstToken) / aDemand.firstTokenTarget;
  const double between = aPrediction.betweenTokens / aDemand.betweenTarget;
  return Penalty(first) + Penalty(between) + kWorkWeight * aPrediction.promptSeconds +
         aEngine.zoneCost;
}

bool IsLateByLoad(const Demand& aDemand, const Prediction& aPrediction, double aFactor)
{
  const double first = aDemand.waited + aPrediction.firstToken;
  return first > aFactor * aDemand.firstTokenTarget &&
         first - aPrediction.idleFirstToken > kLoadShare * aFactor * aDemand.firstTokenTarget;
}

bool MeetsTargets(const Demand& aDemand, const Prediction& aPrediction)
{
  return aDemand.waited + aPrediction.firstToken <= aDemand.firstTokenTarget &&
         aPrediction.betweenTokens <= aDemand.betweenTarget;
}

} // namespace masticstep::routing
