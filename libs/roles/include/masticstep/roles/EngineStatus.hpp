#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/roles/Role.hpp"

#include <cstdint>

namespace masticstep::roles {

// State of an engine as seen by the planner, from the load report and the drain entries.
struct EngineStatus
{
  EngineId engine;
  Role role = Role::Mixed;
  // Whether it accepts requests, or would accept them if the planner had not drained it.
  bool isHealthy = true;
  // Running and waiting requests.
  std::uint32_t requests = 0;
};

} // namespace masticstep::roles
