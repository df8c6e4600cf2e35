#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticstep {

// Value of an EngineLoad entry, 18 bytes. Names of models are not part of it: they change rarely
// and are learned from the engine's own settings and state.
struct EngineLoadValue
{
  std::uint32_t sequence = 0; // of the engine's report
  std::uint32_t ageMs = 0;    // of the report when it was published
  std::uint16_t running = 0;
  std::uint16_t waiting = 0;
  std::uint16_t kvBlocksUsed = 0;
  std::uint16_t kvBlocksTotal = 0;
  std::uint8_t role = 0;
  std::uint8_t state = 0;

  bool operator==(const EngineLoadValue&) const = default;
};

std::string Encode(const EngineLoadValue& aValue);
// Returns nothing if the size is wrong.
std::optional<EngineLoadValue> DecodeEngineLoad(std::string_view aBytes);

} // namespace masticstep
