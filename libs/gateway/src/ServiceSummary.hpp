#pragma once

#include "masticstep/config/Service.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace masticstep::gateway {

// Total load of the engines of one model service in one data centre.
struct ServiceSummary
{
  std::uint32_t usable = 0; // engines that accept new work; the sums cover only these
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t blocksUsed = 0;
  std::uint32_t blocksTotal = 0;
  std::set<EngineId> unusable;

  bool operator==(const ServiceSummary&) const = default;
};

// Encodes the summary as "usable,running,waiting,used,total", followed by ";NAME" for each engine
// that accepts no new work.
std::string Encode(const ServiceSummary& aSummary);
// Returns nothing if the text is malformed.
std::optional<ServiceSummary> DecodeServiceSummary(std::string_view aText);

} // namespace masticstep::gateway
