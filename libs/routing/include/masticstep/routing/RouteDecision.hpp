#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::routing {

// The chosen engine and the predicted latencies, which are relative to the time of the decision.
struct RouteDecision
{
  EngineId engine;
  Duration firstToken{ 0 };
  Duration betweenTokens{ 0 };
  Duration completion{ 0 };
  std::uint32_t outputTokens = 0;
  std::uint32_t cachedTokens = 0;
  bool meetsTargets = false;
  // The request is a health probe of an ejected engine.
  bool isProbe = false;
};

} // namespace masticstep::routing
