#include "Prediction.hpp"

namespace masticstep::routing {

namespace {

// A late request counts as late due to load if the load delays its first token by more than this
// fraction of the first-token limit.
constexpr double kMinimumLoadDelayFraction = 0.5;
// Requests that waited in the admission queue get a higher limit than new ones. Otherwise an
// account that sends new requests all the time would take all the capacity.
constexpr double kQueuedRequestFactor = 1.5;

} // namespace

bool IsLateDueToLoad(const Demand& aDemand, const Prediction& aPrediction, double aShedFactor)
{
  const double limit = aShedFactor * aDemand.firstTokenTarget;
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
