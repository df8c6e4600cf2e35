#pragma once

#include "masticstep/roles/WorkloadSample.hpp"

namespace masticstep::roles {

// Engine time of a token on an engine of the role that suits it.
struct TokenCosts
{
  double secondsPerPromptToken = 0.000135;
  double secondsPerOutputToken = 0.00035;
};

// Engine seconds of one request, on the side of the sample that its larger part belongs to. The sum
// over a span, divided by the span, is the planner's WorkloadSample.
WorkloadSample EstimateWork(double aPromptTokens, double aOutputTokens, const TokenCosts& aCosts);

} // namespace masticstep::roles
