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

// Engine time of work on an engine of another role, relative to an engine of the matching role. The
// defaults are those of the batching model in bench/FakeEngine.hpp; see docs/ROUTING.md.
struct RoleCosts
{
  double promptOnDecode = 2.5;
  double promptOnMixed = 1.4;
  double outputOnMixed = 1.8;
  // Utilization of an engine above which the first tokens of long prompts are late.
  double targetUtilization = 0.85;
  // The same for streams, which queue for less time because they are short and scheduled first.
  double decodeTargetUtilization = 1.0;
};

// Returns the work per second, in engines, that the fleet serves within the latency targets.
double ServedWork(const RoleCounts& aCounts, const WorkloadSample& aWorkload,
                  const RoleCosts& aCosts);

} // namespace masticstep::roles
