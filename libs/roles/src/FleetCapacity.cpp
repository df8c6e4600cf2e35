#include "masticstep/roles/FleetCapacity.hpp"

#include <algorithm>

namespace masticstep::roles {

namespace {

// Moves as much work as fits onto the spare time and returns what was served.
double Serve(double& aWork, double& aSpare, double aCost)
{
  const double served = std::min(aWork, aSpare / aCost);
  aWork -= served;
  aSpare -= served * aCost;
  return served;
}

} // namespace

double ServedWork(const RoleCounts& aCounts, const WorkloadSample& aWork, const RoleCosts& aCosts)
{
  double prompt = aWork.promptWork;
  double output = aWork.outputWork;
  double prefill = static_cast<double>(aCounts.prefill) * aCosts.targetLoad;
  double decode = static_cast<double>(aCounts.decode) * aCosts.decodeTargetLoad;
  double mixed = static_cast<double>(aCounts.mixed) * aCosts.targetLoad;
  double served = Serve(prompt, prefill, 1.0);
  served += Serve(output, decode, 1.0);
  served += Serve(output, mixed, aCosts.outputOnMixed);
  served += Serve(prompt, mixed, aCosts.promptOnMixed);
  served += Serve(prompt, decode, aCosts.promptOnDecode);
  // Streams on a prefill engine miss the target between tokens, so none are counted there.
  return served;
}

} // namespace masticstep::roles
