#pragma once

#include "OnlineRegression.hpp"
#include "masticstep/routing/EngineDescription.hpp"

#include <cstddef>
#include <vector>

namespace masticstep::routing {

// Estimated load of an engine at one point in time.
struct EngineLoad
{
  double running = 0.0;       // requests, including waiting ones
  double waitingTokens = 0.0; // prompt tokens not yet processed
  double usedBlocks = 0.0;
};

using FirstTokenFeatures = OnlineRegression<4>::Features;
using BetweenTokensFeatures = OnlineRegression<4>::Features;

// Features are scaled to about 1, so that one learning rate suits all weights.
constexpr float kTokenScale = 1000.0F;
constexpr float kRunningScale = 32.0F;

// Inline, because each decision calls it for every engine.
inline FirstTokenFeatures FirstTokenFeaturesOf(const EngineLoad& aLoad, double aUncachedTokens)
{
  const float own = static_cast<float>(aUncachedTokens) / kTokenScale;
  const float waiting = static_cast<float>(aLoad.waitingTokens) / kTokenScale;
  return { 1.0F, own, waiting,
           (own + waiting) * static_cast<float>(aLoad.running) / kRunningScale };
}

BetweenTokensFeatures BetweenTokensFeaturesOf(const EngineLoad& aLoad);

// Latency in seconds of the engines of a service in one role, learned from observed answers. The
// time to the first token depends on the uncached prompt tokens. The time between tokens depends on
// the batch size, the KV blocks in use and whether prompts are being processed.
class LatencyModel
{
public:
  explicit LatencyModel(EngineRole aRole);

  // Each class has its own model, because engines honour priorities: waiting work delays a class of
  // high priority less.
  double FirstToken(std::size_t aClass, const FirstTokenFeatures& aFeatures) const
  {
    return ModelOf(aClass).Predict(aFeatures);
  }
  double BetweenTokens(const BetweenTokensFeatures& aFeatures) const
  {
    return mBetweenTokens.Predict(aFeatures);
  }
  const FirstTokenFeatures& FirstTokenWeights(std::size_t aClass) const
  {
    return ModelOf(aClass).Weights();
  }

  void LearnFirstToken(std::size_t aClass, const FirstTokenFeatures& aFeatures, double aSeconds);
  void LearnBetweenTokens(const BetweenTokensFeatures& aFeatures, double aSeconds);

private:
  const OnlineRegression<4>& ModelOf(std::size_t aClass) const
  {
    return aClass < mFirstToken.size() ? mFirstToken[aClass] : mPrior;
  }

  OnlineRegression<4> mPrior;
  std::vector<OnlineRegression<4>> mFirstToken;
  OnlineRegression<4> mBetweenTokens;
};

} // namespace masticstep::routing
