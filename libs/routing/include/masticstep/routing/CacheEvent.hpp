#pragma once

#include "masticstep/base/Identifier.hpp"

#include <cstdint>

namespace masticstep::routing {

enum class CacheEventKind : std::uint8_t
{
  Stored,
  Removed
};

// Change of an engine's prefix cache. A gap in `sequence` means that events were lost.
struct CacheEvent
{
  EngineId engine;
  std::uint64_t sequence = 0;
  CacheEventKind kind = CacheEventKind::Stored;
  std::uint64_t hash = 0;
};

} // namespace masticstep::routing
