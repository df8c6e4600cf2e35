#include "EngineRecord.hpp"

namespace masticstep::routing {

EngineRecord::EngineRecord(const EngineDescription& aDescription, RoleLatencyModels& aModels)
  : description(aDescription)
  , load(aDescription.kvBlocks)
  , models(&aModels)
{
}

EngineSummary EngineRecord::Summary() const
{
  const EngineLoad now = load.Load();
  EngineSummary summary;
  summary.running = static_cast<float>(now.running);
  summary.waitingTokens = static_cast<float>(now.waitingTokens);
  summary.usedBlocks = static_cast<float>(now.usedBlocks);
  summary.freeBlocks = static_cast<float>(load.TotalBlocks() - now.usedBlocks);
  summary.betweenTokens = static_cast<float>(betweenTokensFactor.Value() *
                                             Model().BetweenTokens(BetweenTokensFeaturesOf(now)));
  summary.firstTokenFactor = static_cast<float>(firstTokenFactor.Value());
  summary.roundTrip = static_cast<float>(roundTrip);
  summary.regionCost = static_cast<float>(regionCost);
  summary.cacheConfidence = static_cast<float>(cacheConfidence);
  summary.role = static_cast<std::uint8_t>(description.role);
  summary.isUsable = State() == EngineState::Ready && !isRemoved;
  summary.isBreakerClosed = breaker.IsClosed();
  return summary;
}

void EngineRecord::SetLocality(const RouterOptions& aOptions)
{
  if (description.dataCentre == aOptions.dataCentre) {
    roundTrip = ToSeconds(aOptions.sameDataCentreRoundTrip);
    regionCost = 0.0;
    return;
  }
  const bool isSameRegion = description.region == aOptions.region;
  roundTrip =
    ToSeconds(isSameRegion ? aOptions.sameRegionRoundTrip : aOptions.otherRegionRoundTrip);
  regionCost = isSameRegion ? 0.0 : aOptions.otherRegionCostSeconds;
}

} // namespace masticstep::routing
