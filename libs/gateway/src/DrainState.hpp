#pragma once

#include <atomic>

namespace masticstep::gateway {

enum class DrainPhase
{
  Serving,
  Leaving, // not ready any more, still takes requests until the balancer has noticed
  Stopping // takes no new requests, finishes the running ones
};

// Phase of this daemon's graceful shutdown. Phases only advance.
class DrainState
{
public:
  DrainPhase Phase() const { return mPhase.load(); }
  // Returns false if the daemon is in that phase or a later one already.
  bool Advance(DrainPhase aPhase);

private:
  std::atomic<DrainPhase> mPhase{ DrainPhase::Serving };
};

} // namespace masticstep::gateway
