#pragma once

#include "CacheEventReader.hpp"
#include "GatewayParts.hpp"

#include <map>
#include <memory>

namespace masticstep::gateway {

// Reads the cache events of engines and passes them to the selector. Not thread-safe; all calls are
// made on one strand.
class EngineCacheEvents
{
public:
  explicit EngineCacheEvents(std::shared_ptr<GatewayParts> aParts);

  // Asks the engine for its events since the last poll, at most once a second. The number is that
  // of the load report just read.
  net::Task<void> Poll(BackendServer aEngine, std::uint64_t aLoadSequence);

private:
  struct Position
  {
    CacheEventReader reader;
    Time next; // time of the next poll
  };

  const std::shared_ptr<GatewayParts> mParts;
  std::map<EngineId, Position> mPositions; // entries are never removed, since polls refer to them
};

} // namespace masticstep::gateway
