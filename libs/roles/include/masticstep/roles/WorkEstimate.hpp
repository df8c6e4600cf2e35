#pragma once

#include "masticstep/roles/WorkloadSample.hpp"

namespace masticstep::roles {

// Engine time per token on an engine of the matching role.
struct TokenCosts
{
  double secondsPerPromptToken = 0.000135;
  double secondsPerOutputToken = 0.00035;
};

// Returns the engine seconds of one request, all in the field of its larger part. The sum over an
// interval, divided by its length in seconds, is a WorkloadSample for the planner.
WorkloadSample EstimateWork(double aPromptTokens, double aOutputTokens, const TokenCosts& aCosts);

} // namespace masticstep::roles
