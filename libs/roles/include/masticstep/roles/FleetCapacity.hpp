#pragma once

#include "masticstep/roles/WorkloadSample.hpp"

#include <cstddef>

namespace masticstep::roles {

struct RoleCounts
{
  std::size_t prefill = 0;
  std::size_t decode = 0;
  std::size_t mixed = 0;

  bool operator==(const RoleCounts&) const = default;
};

// Engine time that work needs on an engine of another role, in units of its own role. Defaults are
// those of the batching model in bench/FakeEngine.hpp; see docs/ROUTING.md.
struct RoleCosts
{
  double promptOnDecode = 2.5;
  double promptOnMixed = 1.4;
  double outputOnMixed = 1.8;
  // Load of an engine above which first tokens of long prompts are late.
  double targetLoad = 0.85;
  // The same for streams, which wait less, since they are short and come first.
  double decodeTargetLoad = 1.0;
};

// Work per second, in engines, that the fleet serves within the targets.
double ServedWork(const RoleCounts& aCounts, const WorkloadSample& aWork, const RoleCosts& aCosts);

} // namespace masticstep::roles
