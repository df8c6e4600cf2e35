#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/roles/Role.hpp"

#include <cstdint>

namespace masticstep::roles {

// What the planner is told about an engine, from its load report and the drain entries.
struct EngineStatus
{
  EngineId engine;
  Role role = Role::Mixed;
  // Takes requests, or would if the planner had not drained it.
  bool isHealthy = true;
  // Requests that run or wait on it.
  std::uint32_t requests = 0;
};

} // namespace masticstep::roles
