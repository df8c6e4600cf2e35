#pragma once

#include "OnlineRegression.hpp"
#include "masticstep/routing/EngineDescription.hpp"

#include <cstddef>
#include <vector>

namespace masticstep::routing {

// Believed load of an engine at one moment.
struct EngineLoad
{
  double running = 0.0;       // requests, waiting ones included
  double waitingTokens = 0.0; // prompt tokens not yet computed
  double usedBlocks = 0.0;
};

using FirstTokenFeatures = OnlineRegression<4>::Features;
using BetweenTokensFeatures = OnlineRegression<4>::Features;

// Features are scaled to about 1, so that one step size fits all weights.
constexpr float kTokenScale = 1000.0F;
constexpr float kRunningScale = 32.0F;

// Inline, since a decision calls it for every engine.
inline FirstTokenFeatures FirstTokenFeaturesOf(const EngineLoad& aLoad, double aUncachedTokens)
{
  const float own = static_cast<float>(aUncachedTokens) / kTokenScale;
  const float waiting = static_cast<float>(aLoad.waitingTokens) / kTokenScale;
  return { 1.0F, own, waiting,
           (own + waiting) * static_cast<float>(aLoad.running) / kRunningScale };
}

BetweenTokensFeatures BetweenTokensFeaturesOf(const EngineLoad& aLoad);

// Time that one engine in one role needs, in seconds, learned from its answers. The prompt's time
// follows the tokens that are not cached; the time between tokens follows the batch, the KV blocks
// in use and whether prompts are being computed.
class CostModel
{
public:
  explicit CostModel(EngineRole aRole);

  // Classes have models of their own, since engines honour priorities: the work that waits on an
  // engine delays a class of high priority less.
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
