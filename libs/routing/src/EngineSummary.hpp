#pragma once

#include <cstdint>

namespace masticstep::routing {

// The part of a belief that every decision reads, packed so that a few hundred engines fit the
// first-level cache. It is renewed whenever the belief changes.
struct EngineSummary
{
  float running = 0.0F;
  float waitingTokens = 0.0F;
  float usedBlocks = 0.0F;
  float freeBlocks = 0.0F;
  float betweenTokens = 0.0F; // predicted at this load, s
  float firstTokenFactor = 1.0F;
  float roundTrip = 0.0F; // s
  float zoneCost = 0.0F;
  float cacheTrust = 1.0F;
  std::uint8_t role = 0;
  bool isUsable = true; // ready and configured
  bool isBreakerClosed = true;
};

} // namespace masticstep::routing
