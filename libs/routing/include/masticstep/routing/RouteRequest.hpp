#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <vector>

namespace masticstep::routing {

struct RouteRequest
{
  RequestId id;
  ServiceName service;
  ClassName className;
  AccountName account;
  std::uint32_t promptTokens = 0;
  std::uint32_t maxTokens = 0;
  // Hashes of the prompt's prefixes, shortest first. Each hash covers the same number of additional
  // tokens.
  std::vector<std::uint64_t> prefixHashes;
  Time arrived;
  Time deadline;
  std::uint8_t priority = 0;
  // Engines on which this request has already failed.
  std::vector<EngineId> excluded;
};

} // namespace masticstep::routing
