#pragma once

#include "masticstep/base/Time.hpp"
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
  // Largest part of a data centre's engines that changes in one plan, at least one engine.
  double maximumChangeShare = 1.0;

  bool operator==(const StagePolicy&) const = default;
};

// Returns the initial share before any request has been measured. Assumes answers of about a second
// in one of the engine's slots, after a prefill of a few hundredths of a second.
double InitialDecodeShare(std::uint32_t aSlots);

// Returns the share of a service's engines that decode now, or nothing if it has no engines.
std::optional<double> CurrentDecodeShare(const std::map<BackendServerName, Backend>& aBackends,
                                         const ServiceName& aService);

// Tracks the measured share with hysteresis, since each change takes an engine out of service for
// seconds.
class DecodeShareController
{
public:
  explicit DecodeShareController(double aStart);

  // Returns the share to apply now.
  double Update(std::optional<double> aMeasured, Time aNow);

private:
  double mShare;
  std::optional<Time> mChangedAt;
  std::optional<Time> mDiffersSince; // start of the current deviation
};

// Engines whose change of stage is under way, with the stage to come.
using PendingStages = std::map<BackendServerName, Stage>;

// Returns the changes that bring the engines of a service in each data centre in line with the
// policy. Each software version keeps or gets at least one engine for decoding in the fleet, even
// beyond the limit on changes, since no other version can go on with the streams that it began.
// Skips draining engines, engines with a pending change and engines that run both stages.
std::vector<StageChange> PlanStages(const std::map<BackendServerName, Backend>& aBackends,
                                    const ServiceName& aService, const StagePolicy& aPolicy,
                                    const PendingStages& aPending = {});

} // namespace masticstep::dispatch
