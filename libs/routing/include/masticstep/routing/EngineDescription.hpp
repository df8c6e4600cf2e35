#pragma once

#include "masticstep/base/Identifier.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace masticstep::routing {

// How an engine divides its steps between prefill and decode. A request stays on one engine from
// its prompt to its last token.
enum class EngineRole : std::uint8_t
{
  Mixed,
  Prefill,
  Decode
};
constexpr std::size_t kEngineRoles = 3;

enum class EngineState : std::uint8_t
{
  Ready,
  Draining,     // finishes running requests, accepts no new ones
  ChangingRole, // out of service for a few seconds
  Down
};

// Configuration of one engine.
struct EngineDescription
{
  EngineId id;
  ServiceName service;
  DataCentreName dataCentre;
  RegionName region;
  std::uint32_t kvBlocks = 2000; // design section 1.4
  EngineRole role = EngineRole::Mixed;

  bool operator==(const EngineDescription&) const = default;
};

} // namespace masticstep::routing
