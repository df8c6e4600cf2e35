#pragma once

#include "DispatchPolicy.hpp"
#include "RoleController.hpp"
#include "Workload.hpp"

#include <cstdint>
#include <vector>

namespace masticstep::bench {

struct SimulationOptions
{
  Installation installation;
  DispatchKind dispatch = DispatchKind::Masticstep;
  ControllerKind controller = ControllerKind::Planner;
  RoleSchedule schedule;
  // Prefill engines per data centre at the start; the others are decode engines.
  std::uint32_t prefillEngines = 1;
  Duration length = Seconds(600);
  // A third of the model engines is down in this span, if it is not empty.
  Duration lossFrom{ 0 };
  Duration lossTo{ 0 };
  // The lost engines are cut off from the daemons only: they go on reporting that they are idle.
  bool isLossHidden = false;
};

struct SimulationResult
{
  // Requests per second answered whole within the targets of their class.
  double goodput = 0.0;
  // Of them, those of accounts that do not flood.
  double othersGoodput = 0.0;
  std::uint32_t roleChanges = 0;
  std::uint64_t arrived = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t lateFirstToken = 0;
  std::uint64_t slowTokens = 0;
};

SimulationResult Simulate(const SimulationOptions& aOptions, const std::vector<WorkItem>& aItems);

} // namespace masticstep::bench
