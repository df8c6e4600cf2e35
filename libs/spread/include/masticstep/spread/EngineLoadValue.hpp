#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticstep {

// Value of an EngineLoad entry. Names of models are not part of it: they change rarely
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

// Writes the numbers in groups of 7 bits, mostly 11 to 13 bytes in all.
std::string Encode(const EngineLoadValue& aValue);
// Returns nothing if the bytes end early, go on after the last number, or a number does not fit.
std::optional<EngineLoadValue> DecodeEngineLoad(std::string_view aBytes);

// A load is published at least this often; PolicyOf(EngineLoad) takes older entries for missing.
constexpr Duration kLoadRefresh = Seconds(2);

// Returns whether a polled load must be published now: it differs much from the one published
// before, or that one is about to be older than kLoadRefresh at the next poll. Publishing each poll
// of 1 s would double the traffic of a data centre with 120 engines.
bool ShouldPublishLoad(const EngineLoadValue& aPublished, const EngineLoadValue& aPolled,
                       Duration aSincePublished);
// The same for encoded values; bytes that are no engine load are always published.
bool ShouldPublishLoad(std::string_view aPublished, std::string_view aPolled,
                       Duration aSincePublished);

} // namespace masticstep
