#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticstep {

// Value of an EngineLoad entry. Model names are not included: they change rarely and are known from
// the settings and state of the engine.
struct EngineLoadValue
{
  std::uint32_t sequence = 0; // of the engine's load report
  std::uint32_t ageMs = 0;    // age of the report when it was published
  std::uint16_t running = 0;
  std::uint16_t waiting = 0;
  std::uint16_t kvBlocksUsed = 0;
  std::uint16_t kvBlocksTotal = 0;
  std::uint8_t role = 0;
  std::uint8_t state = 0;

  bool operator==(const EngineLoadValue&) const = default;
};

// Encodes the fields as LEB128 varints, typically 11 to 13 bytes in total.
std::string Encode(const EngineLoadValue& aValue);
// Returns nullopt if the input is truncated, has trailing bytes or has a number out of range of its
// field.
std::optional<EngineLoadValue> DecodeEngineLoad(std::string_view aBytes);

// Maximum interval between publications of a load. PolicyOf(EngineLoad).missingAfter is based on
// it.
constexpr Duration kLoadRefreshInterval = Seconds(2);

// Returns whether a polled load should be published: it differs significantly from the published
// one, or the published one would be older than kLoadRefreshInterval at the next poll. Publishing
// every poll, once a second, would double the traffic of a data centre with 120 engines.
bool ShouldPublishLoad(const EngineLoadValue& aPublished, const EngineLoadValue& aPolled,
                       Duration aTimeSincePublished);
// Overload for encoded values; returns true if either isn't a valid engine load.
bool ShouldPublishLoad(std::string_view aPublished, std::string_view aPolled,
                       Duration aTimeSincePublished);

} // namespace masticstep
