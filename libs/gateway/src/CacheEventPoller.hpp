#pragma once

#include "CacheEventReader.hpp"
#include "GatewayParts.hpp"

#include <map>
#include <memory>

namespace masticstep::gateway {

// Polls the cache events of engines and passes them to the selector. Not thread-safe; all calls
// must be made on one strand.
class CacheEventPoller
{
public:
  explicit CacheEventPoller(std::shared_ptr<GatewayParts> aParts);

  // Requests the events since the last poll, at most once per second. aLoadSequence is the number
  // of the load report just read.
  net::Task<void> Poll(BackendServer aEngine, std::uint64_t aLoadSequence);

private:
  struct PollState
  {
    CacheEventReader reader;
    Time next; // time of the next poll
  };

  const std::shared_ptr<GatewayParts> mParts;
  std::map<EngineId, PollState> mStates; // never erased; polls hold references
};

} // namespace masticstep::gateway
