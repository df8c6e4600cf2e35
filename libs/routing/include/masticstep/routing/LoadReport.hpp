#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/routing/EngineDescription.hpp"

#include <cstdint>

namespace masticstep::routing {

// Load of one engine, measured `age` before the report reached the router.
struct LoadReport
{
  EngineId engine;
  std::uint64_t sequence = 0;
  Duration age{ 0 };
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t kvBlocksUsed = 0;
  std::uint32_t kvBlocksTotal = 0;
  EngineRole role = EngineRole::Mixed;
  EngineState state = EngineState::Ready;
};

} // namespace masticstep::routing
