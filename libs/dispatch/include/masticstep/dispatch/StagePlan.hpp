#pragma once

#include "masticstep/dispatch/Backend.hpp"

#include <map>
#include <vector>

namespace masticstep::dispatch {

// An engine that should do another part of the work.
struct StageChange
{
  BackendServerName engine;
  Stage stage = Stage::Prefill;

  bool operator==(const StageChange&) const = default;
};

struct StagePolicy
{
  // Part of a data centre's engines that writes answers; the others read prompts.
  double answerShare = 0.4;
  std::uint32_t minimumAnswering = 1; // in each data centre

  bool operator==(const StagePolicy&) const = default;
};

// Returns the changes that bring each data centre's engines to the policy. Engines of services
// without stages are left alone, and so are draining ones.
std::vector<StageChange> PlanStages(const std::map<BackendServerName, Backend>& aBackends,
                                    const StagePolicy& aPolicy);

} // namespace masticstep::dispatch
