#include "masticstep/roles/WorkEstimate.hpp"

namespace masticstep::roles {

WorkloadSample EstimateWork(double aPromptTokens, double aOutputTokens, const TokenCosts& aCosts)
{
  const double prompt = aPromptTokens * aCosts.secondsPerPromptToken;
  const double output = aOutputTokens * aCosts.secondsPerOutputToken;
  // A request stays on one engine, so all of its work counts for the role of its larger part.
  return prompt > output ? WorkloadSample{ prompt + output, 0.0 }
                         : WorkloadSample{ 0.0, prompt + output };
}

} // namespace masticstep::roles
