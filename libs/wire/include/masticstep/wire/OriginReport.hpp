#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/wire/WireError.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticstep::wire {

// Longest name of a service or version in a report.
constexpr std::size_t kMaximumOriginNameBytes = 256;

// Streams that began at one software version of a service.
struct OriginGroup
{
  ServiceName service;
  SoftwareVersion version;
  std::vector<std::uint64_t> streams;

  bool operator==(const OriginGroup&) const = default;
};

// Streams that began at the daemon that sends the report.
struct OriginReport
{
  std::vector<OriginGroup> groups;

  bool operator==(const OriginReport&) const = default;
};

std::string EncodeOriginReport(const OriginReport& aReport);
// Returns whether the bytes begin like an origin report; they need not be valid.
bool IsOriginReport(std::string_view aBytes);
// Fails if the bytes are not a complete, valid report.
Result<OriginReport, WireError> DecodeOriginReport(std::string_view aBytes);

} // namespace masticstep::wire
