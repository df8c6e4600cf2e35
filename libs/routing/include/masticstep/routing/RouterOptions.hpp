#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace masticstep::routing {

// Targets of one class of one service; the fields have the names of the service file.
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
  // Round trips from this daemon, design section 1.4.
  Duration sameDataCentreRoundTrip = Milliseconds(1);
  Duration sameRegionRoundTrip = Milliseconds(2);
  Duration otherRegionRoundTrip = Milliseconds(40);
  // Charge for traffic to another region, as seconds of completion that it must win back.
  double otherRegionCost = 0.2;
  // Tokens in one KV block.
  std::uint32_t tokensPerBlock = 16;
  // Prefix hashes remembered per engine; more than an engine's 2,000 blocks hold is of no use.
  std::size_t prefixHashesPerEngine = 2000;
  // Pairs of class and account whose output length is remembered.
  std::size_t maximumOutputHistories = 8192;
  bool ejection = true;
  // A request is refused if the load makes its first token later than this multiple of the target
  // on every engine, since it would only delay others. 0 never refuses for this reason.
  double shedFactor = 0.5;
  std::uint64_t seed = 1;
};

} // namespace masticstep::routing
