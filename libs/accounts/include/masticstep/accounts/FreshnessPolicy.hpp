#pragma once

#include "masticstep/accounts/ConfigurationFreshness.hpp"

namespace masticstep::accounts {

// How a daemon learns whether its configuration is still the newest.
enum class FreshnessSource : std::uint8_t
{
  None,  // what it knows is young enough
  Peers, // ask the daemons that watch the store; this costs no call of the store
  Store  // read the store as well, since the peers did not help
};

// Decides where a daemon asks. Peers are asked early. The ages from which the daemons of a data
// centre read the store themselves are spread, so that one of them renews the knowledge of all when
// the usual source fails, and not all at once.
class FreshnessPolicy
{
public:
  // aSpread in [0, 1) differs between daemons.
  FreshnessPolicy(Duration aMaximumAge, double aSpread);

  FreshnessSource SourceAt(const ConfigurationFreshness& aFreshness, Time aNow) const;
  // Longest time that a watch of the daemon that reads for the others may stay open: its answer
  // counts from when the watch began.
  Duration WatchTime() const;

private:
  Duration mPeerAge;
  Duration mStoreAge;
  Duration mWatchTime;
};

} // namespace masticstep::accounts
