#pragma once

#include "EngineBelief.hpp"

namespace masticstep::routing {

// What one request is expected to need, whichever engine runs it.
struct Demand
{
  std::size_t classIndex = 0;
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
  // First token on the same engine without any other work.
  double idleFirstToken = 0.0;
  double promptSeconds = 0.0; // engine time of the tokens that are not cached
};

Prediction Predict(const EngineBelief& aEngine, const Demand& aDemand, double aCachedTokens);

// Cost of the choice without unit; 1 is about one missed target. Lower is better.
double CostOf(const EngineBelief& aEngine, const Demand& aDemand, const Prediction& aPrediction);

// Whether the engine's load, and not the request's own length, makes the first token later than
// aFactor times its target.
bool IsLateByLoad(const Demand& aDemand, const Prediction& aPrediction, double aFactor);

bool MeetsTargets(const Demand& aDemand, const Prediction& aPrediction);

} // namespace masticstep::routing
