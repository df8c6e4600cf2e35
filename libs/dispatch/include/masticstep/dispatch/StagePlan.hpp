#pragma once

#include "masticstep/dispatch/Backend.hpp"

#include <map>
#include <optional>
#include <vector>

namespace masticstep::dispatch {

// An engine to be switched to another stage.
struct StageChange
{
  BackendServerName engine;
  Stage stage = Stage::Prefill;

  bool operator==(const StageChange&) const = default;
};

struct StagePolicy
{
  // Share of a data centre's engines that decode; the others prefill.
  double decodeShare = 0.4;
  std::uint32_t minimumDecodeEngines = 1; // per data centre
  // Largest part of a data centre's engines that changes at the same time, at least one engine.
  double maximumChangeShare = 1.0;

  bool operator==(const StagePolicy&) const = default;
};

// Returns the share of a service's engines that decode now, or nothing if it has no engines.
std::optional<double> CurrentDecodeShare(const std::map<BackendServerName, Backend>& aBackends,
                                         const ServiceName& aService);

// Engines whose change of stage is under way, with the stage to come.
using PendingStages = std::map<BackendServerName, Stage>;

// Returns the changes that bring the engines of a service in each data centre in line with the
// policy. Each software version keeps or gets engines for decoding in the fleet, even beyond the
// limit on changes, since no other version can go on with the streams that it began: one, and
// beside other versions several, in two data centres if it can.
// Skips draining engines, engines with a pending change and engines that run both stages.
std::vector<StageChange> PlanStages(const std::map<BackendServerName, Backend>& aBackends,
                                    const ServiceName& aService, const StagePolicy& aPolicy,
                                    const PendingStages& aPending = {});

} // namespace masticstep::dispatch
