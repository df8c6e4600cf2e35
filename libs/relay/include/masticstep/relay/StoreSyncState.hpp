#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/platform/ObjectKey.hpp"

#include <cstdint>
#include <optional>

namespace masticstep::relay {

// Time after the start of a daemon until its peers have reported, so that it knows its own role.
constexpr Duration kElectionTime = Milliseconds(1500);

// How far this daemon and the others of its data centre have followed the platform's store. Two
// daemons per data centre, the store watchers, keep a watch on the store; the first of them is the
// store poller, which also reads the whole state at short intervals and writes what the data centre
// keeps in the store (see duties::StoreRoles). The others learn from work reports that there are
// changes and read these, so that the load on the store does not grow with the number of daemons.
struct StoreSyncState
{
  bool isStorePoller = true;                   // until a peer with a lower host hash reports
  bool hasJoined = false;                      // whether it writes what it must as store poller
  bool isStoreWatcher = true;                  // until two peers with lower host hashes report
  bool mayHaveFollowers = false;               // whether there are peers that are no watchers
  platform::Version newestEntryRevision;       // newest backend server entry seen by this daemon
  platform::Version peersNewestEntryRevision;  // newest backend server entry seen by any peer
  std::uint64_t peersConfigurationVersion = 0; // highest version in force at any peer
  // Store revision at which the latest change of a backend server entry was received, by this
  // daemon and by any peer.
  platform::Version backendChangeRevision;
  platform::Version peersBackendChangeRevision;
  std::uint64_t peersRecoveries = 0; // how often a peer has said that it reaches the store again
  std::uint64_t storeEra = 0;        // highest one that this daemon or any peer has seen
  // Times up to which this daemon, and any peer, has had responses of the store about both backend
  // servers and configuration.
  std::optional<Time> storeContact;
  std::optional<Time> peersStoreContact;

  // Returns whether peers follow the store for this daemon: it need not keep a watch itself as long
  // as some peer has had an answer within aMaximumAge.
  bool IsFollower(Time aNow, Duration aMaximumAge) const
  {
    return !isStoreWatcher && peersStoreContact && aNow < *peersStoreContact + aMaximumAge;
  }
  bool operator==(const StoreSyncState&) const = default;
};

} // namespace masticstep::relay
