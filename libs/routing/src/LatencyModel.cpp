#include "LatencyModel.hpp"

#include <algorithm>

namespace masticstep::routing {

namespace {

constexpr double kBlockScale = 1000.0;
// Number of waiting prompt tokens from which every step of an engine includes prefill work.
constexpr double kPromptSaturationTokens = 1024.0;
// Limits training samples, because the latency of a stalled stream does not depend on the load.
constexpr double kMaximumObservedSeconds = 10.0;

// Initial weights, corrected by observed answers: the model weights read once per step, the compute
// time of a large model per prompt token, and the step length that results from the role's share of
// prompt tokens.
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
           static_cast<float>(std::min(1.0, aLoad.waitingTokens / kPromptSaturationTokens)) };
}

LatencyModel::LatencyModel(EngineRole aRole)
  : mPrior(FirstTokenPrior(aRole))
  , mBetweenTokens(BetweenTokensPrior(aRole))
{
}

void LatencyModel::LearnFirstToken(std::size_t aClass, const FirstTokenFeatures& aFeatures,
                                   double aSeconds)
{
  if (aClass >= mFirstToken.size()) {
    mFirstToken.resize(aClass + 1, mPrior);
  }
  mFirstToken[aClass].Learn(aFeatures, std::min(aSeconds, kMaximumObservedSeconds));
}

void LatencyModel::LearnBetweenTokens(const BetweenTokensFeatures& aFeatures, double aSeconds)
{
  mBetweenTokens.Learn(aFeatures, std::min(aSeconds, kMaximumObservedSeconds));
}

} // namespace masticstep::routing
