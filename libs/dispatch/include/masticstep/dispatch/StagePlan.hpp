#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/dispatch/Backend.hpp"

#include <map>
#include <optional>
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
  double decodeShare = 0.4;
  std::uint32_t minimumDecodeEngines = 1; // in each data centre
  // Engines of a data centre that may be ordered to change at once; 0: no bound.
  std::uint32_t maximumChanges = 0;

  bool operator==(const StagePolicy&) const = default;
};

// Returns the share to start with before any request was measured: answers of about a second in one
// of the engine's slots, after prompts that are read in some hundredths of a second.
double InitialDecodeShare(std::uint32_t aSlots);

// Follows the measured share slowly, since each change takes an engine away for seconds.
class DecodeShareController
{
public:
  explicit DecodeShareController(double aStart);

  // Returns the share that the engines should have now.
  double Update(std::optional<double> aMeasured, Time aNow);

private:
  double mShare;
  std::optional<Time> mChangedAt;
  std::optional<Time> mDiffersSince; // since when the measured share asks for a change
};

// Returns the changes that bring each data centre's engines of a service to the policy. Engines
// without stages are left alone, and so are draining ones.
std::vector<StageChange> PlanStages(const std::map<BackendServerName, Backend>& aBackends,
                                    const ServiceName& aService, const StagePolicy& aPolicy);

} // namespace masticstep::dispatch
