#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace masticstep::routing {

// Latency targets of one class of one service. The fields are named as in the service file.
struct ClassTargets
{
  ServiceName service;
  ClassName name;
  Duration firstToken = Milliseconds(1100);
  Duration betweenTokens = Milliseconds(67);
  Duration deadline = Seconds(30);
};

struct RouterOptions
{
  DataCentreName dataCentre;
  RegionName region;
  std::vector<ClassTargets> classes;
  // Round-trip times from this daemon (design section 1.4).
  Duration sameDataCentreRoundTrip = Milliseconds(1);
  Duration sameRegionRoundTrip = Milliseconds(2);
  Duration otherRegionRoundTrip = Milliseconds(40);
  // An engine in another region is chosen only if it saves more than this much completion time.
  double otherRegionCostSeconds = 0.2;
  // Tokens in one KV block.
  std::uint32_t tokensPerBlock = 16;
  // Prefix hashes remembered per engine. An engine caches at most one per KV block and has 2,000
  // blocks.
  std::size_t prefixHashesPerEngine = 2000;
  // Maximum number of class and account pairs whose output lengths are remembered.
  std::size_t maximumOutputHistories = 8192;
  bool ejection = true;
  // A request is refused if load delays its first token beyond this multiple of the target on every
  // engine, because running it would only delay other requests. 0 disables load shedding.
  double shedFactor = 0.5;
  std::uint64_t seed = 1;
};

} // namespace masticstep::routing
