#pragma once

#include "EngineBelief.hpp"

namespace masticstep::routing {

// What one request is expected to need, whichever engine runs it.
struct Demand
{
  double promptTokens = 0.0;
  double outputTokens = 0.0;
  double firstTokenTarget = 1.1; // s
  double betweenTarget = 0.067;  // s
  double deadlineSpan = 30.0;    // s left until the deadline
  double waited = 0.0;           // s since arrival
  double tokensPerBlock = 16.0;
};

// Expected course of a request on one engine, in seconds from now.
struct Prediction
{
  double firstToken = 0.0;
  double betweenTokens = 0.0;
  double completion = 0.0;
  double promptSeconds = 0.0; // engine time of the tokens that are not cached
};

Prediction Predict(const EngineBelief& aEngine, const Demand& aDemand, double aCachedTokens);

// Cost of the choice without unit; 1 is about one missed target. Lower is better.
double CostOf(const EngineBelief& aEngine, const Demand& aDemand, const Prediction& aPrediction);

bool MeetsTargets(const Demand& aDemand, const Prediction& aPrediction);

} // namespace masticstep::routing
