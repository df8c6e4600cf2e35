#include "Prediction.hpp"

namespace masticstep::routing {

namespace {

// Part of the target that waiting must take before a late request counts as late by load.
constexpr double kLoadShare = 0.5;

} // namespace

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
