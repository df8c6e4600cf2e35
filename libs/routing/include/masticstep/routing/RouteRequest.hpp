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
  // Hashes of the prompt's leading pieces, the shortest prefix first; each covers an equal number
  // of tokens.
  std::vector<std::uint64_t> prefixHashes;
  Time arrived;
  Time deadline;
  std::uint8_t priority = 0;
  // Engines that already failed this request.
  std::vector<EngineId> excluded;
};

} // namespace masticstep::routing
