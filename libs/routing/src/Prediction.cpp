#include "Prediction.hpp"

namespace masticstep::routing {

namespace {

// Minimum delay due to load, as a fraction of the first-token limit, for a late request to count as
// late because of load.
constexpr double kMinimumLoadDelayFraction = 0.5;
// Requests that waited in the admission queue get a higher limit than new ones. Otherwise an
// account that sends new requests all the time would take all the capacity.
constexpr double kQueuedRequestFactor = 1.5;

} // namespace

bool IsLateDueToLoad(const Demand& aDemand, const Prediction& aPrediction, double aFactor)
{
  const double limit = aFactor * aDemand.firstTokenTarget;
  const double first = aPrediction.firstToken;
  const bool isLate =
    first > limit || aDemand.timeSinceArrival + first > kQueuedRequestFactor * limit;
  return isLate && aDemand.timeSinceArrival + first - aPrediction.idleFirstToken >
                     kMinimumLoadDelayFraction * limit;
}

bool MeetsTargets(const Demand& aDemand, const Prediction& aPrediction)
{
  return aDemand.timeSinceArrival + aPrediction.firstToken <= aDemand.firstTokenTarget &&
         aPrediction.betweenTokens <= aDemand.betweenTokensTarget;
}

} // namespace masticstep::routing
