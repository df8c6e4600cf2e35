#include "EngineBelief.hpp"

namespace masticstep::routing {

EngineBelief::EngineBelief(const EngineDescription& aDescription, RoleModels& aModels)
  : description(aDescription)
  , load(aDescription.kvBlocks)
  , models(&aModels)
{
}

void EngineBelief::SetZone(const RouterOptions& aOptions)
{
  if (description.dataCentre == aOptions.dataCentre) {
    roundTrip = ToSeconds(aOptions.sameDataCentreRoundTrip);
    zoneCost = 0.0;
    return;
  }
  const bool isSameRegion = description.region == aOptions.region;
  roundTrip =
    ToSeconds(isSameRegion ? aOptions.sameRegionRoundTrip : aOptions.otherRegionRoundTrip);
  zoneCost = isSameRegion ? 0.0 : aOptions.otherRegionCost;
}

} // namespace masticstep::routing
