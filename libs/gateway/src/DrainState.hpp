#pragma once

#include <atomic>

namespace masticstep::gateway {

enum class DrainPhase
{
  Serving,
  Leaving, // reports not ready, but accepts requests until the load balancer has reacted
  Stopping // accepts no new requests, finishes the running ones
};

// Phase of this daemon's graceful shutdown. Phases only advance.
class DrainState
{
public:
  DrainPhase Phase() const { return mPhase.load(); }
  // Returns false if the daemon is already in that phase or a later one.
  bool Advance(DrainPhase aPhase);

private:
  std::atomic<DrainPhase> mPhase{ DrainPhase::Serving };
};

} // namespace masticstep::gateway
