#pragma once

#include <cstdint>

namespace masticstep::routing {

// The part of an EngineRecord that every decision reads, packed so that a few hundred engines fit
// into the L1 cache. It is updated whenever the record changes.
struct EngineSummary
{
  float running = 0.0F;
  float waitingTokens = 0.0F;
  float usedBlocks = 0.0F;
  float freeBlocks = 0.0F;
  float betweenTokens = 0.0F; // prediction at this load, s
  float firstTokenFactor = 1.0F;
  float roundTrip = 0.0F; // s
  float regionCost = 0.0F;
  float cacheConfidence = 1.0F;
  std::uint8_t role = 0;
  bool isUsable = true; // ready and configured
  bool isBreakerClosed = true;
};

} // namespace masticstep::routing
