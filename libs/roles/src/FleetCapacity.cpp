#include "masticstep/roles/FleetCapacity.hpp"

#include <algorithm>

namespace masticstep::roles {

namespace {

// Assigns as much work as fits into the spare capacity and returns the amount.
double AssignWork(double& aWork, double& aSpareCapacity, double aCostFactor)
{
  const double served = std::min(aWork, aSpareCapacity / aCostFactor);
  aWork -= served;
  aSpareCapacity -= served * aCostFactor;
  return served;
}

} // namespace

double ServedWork(const RoleCounts& aCounts, const WorkloadSample& aWorkload,
                  const RoleCosts& aCosts)
{
  double prompt = aWorkload.promptWork;
  double output = aWorkload.outputWork;
  double prefill = static_cast<double>(aCounts.prefill) * aCosts.targetUtilization;
  double decode = static_cast<double>(aCounts.decode) * aCosts.decodeTargetUtilization;
  double mixed = static_cast<double>(aCounts.mixed) * aCosts.targetUtilization;
  double served = AssignWork(prompt, prefill, 1.0);
  served += AssignWork(output, decode, 1.0);
  served += AssignWork(output, mixed, aCosts.outputOnMixed);
  served += AssignWork(prompt, mixed, aCosts.promptOnMixed);
  served += AssignWork(prompt, decode, aCosts.promptOnDecode);
  // Streams on a prefill engine miss the inter-token latency target, so none are assigned there.
  return served;
}

} // namespace masticstep::roles
