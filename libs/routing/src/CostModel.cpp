#include "CostModel.hpp"

#include <algorithm>

namespace masticstep::routing {

namespace {

constexpr double kBlockScale = 1000.0;
// Prompt tokens with which an engine computes prompts in every step.
constexpr double kPressureTokens = 1024.0;
// A stalled stream teaches about the stall and not about the load.
constexpr double kLongestLearned = 10.0;

// Starting values until answers correct them: weights read once per step, a large model's compute
// per prompt token and the step length that a role's share of prompt tokens gives.
FirstTokenFeatures FirstTokenPrior(EngineRole aRole)
{
  switch (aRole) {
    case EngineRole::Prefill:
      return { 0.05F, 0.13F, 0.13F, 0.01F };
    case EngineRole::Decode:
      return { 0.03F, 0.25F, 0.25F, 0.01F };
    case EngineRole::Mixed:
      break;
  }
  return { 0.04F, 0.16F, 0.16F, 0.01F };
}

BetweenTokensFeatures BetweenTokensPrior(EngineRole aRole)
{
  switch (aRole) {
    case EngineRole::Prefill:
      return { 0.015F, 0.002F, 0.001F, 0.200F };
    case EngineRole::Decode:
      return { 0.015F, 0.002F, 0.001F, 0.015F };
    case EngineRole::Mixed:
      break;
  }
  return { 0.015F, 0.002F, 0.001F, 0.050F };
}

} // namespace

BetweenTokensFeatures BetweenTokensFeaturesOf(const EngineLoad& aLoad)
{
  return { 1.0F, static_cast<float>(aLoad.running / kRunningScale),
           static_cast<float>(aLoad.usedBlocks / kBlockScale),
           static_cast<float>(std::min(1.0, aLoad.waitingTokens / kPressureTokens)) };
}

CostModel::CostModel(EngineRole aRole)
  : mPrior(FirstTokenPrior(aRole))
  , mBetweenTokens(BetweenTokensPrior(aRole))
{
}

void CostModel::LearnFirstToken(std::size_t aClass, const FirstTokenFeatures& aFeatures,
                                double aSeconds)
{
  if (aClass >= mFirstToken.size()) {
    mFirstToken.resize(aClass + 1, mPrior);
  }
  mFirstToken[aClass].Learn(aFeatures, std::min(aSeconds, kLongestLearned));
}

void CostModel::LearnBetweenTokens(const BetweenTokensFeatures& aFeatures, double aSeconds)
{
  mBetweenTokens.Learn(aFeatures, std::min(aSeconds, kLongestLearned));
}

} // namespace masticstep::routing
