#include "Prediction.hpp"

namespace masticstep::routing {

namespace {

// Part of the target that waiting must take before a late request counts as late by load.
constexpr double kLoadShare = 0.5;
// A request that waited for its fair turn is allowed more than a new one; otherwise an account that
// always has new requests would take every place.
constexpr double kWaitedFactor = 1.5;

} // namespace

bool IsLateByLoad(const Demand& aDemand, const Prediction& aPrediction, double aFactor)
{
  const double limit = aFactor * aDemand.firstTokenTarget;
  const double first = aPrediction.firstToken;
  const bool isLate = first > limit || aDemand.waited + first > kWaitedFactor * limit;
  return isLate && aDemand.waited + first - aPrediction.idleFirstToken > kLoadShare * limit;
}

bool MeetsTargets(const Demand& aDemand, const Prediction& aPrediction)
{
  return aDemand.waited + aPrediction.firstToken <= aDemand.firstTokenTarget &&
         aPrediction.betweenTokens <= aDemand.betweenTarget;
}

} // namespace masticstep::routing
