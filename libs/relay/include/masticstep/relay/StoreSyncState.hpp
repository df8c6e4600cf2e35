#pragma once

#include <cstdint>

namespace masticstep::relay {

// How far this daemon and the others of its data centre have followed the platform's store. One
// daemon per data centre, the store poller, reads the store at short intervals. The others learn
// from work reports that they missed a change, so that the load on the store does not grow with the
// number of daemons.
struct StoreSyncState
{
  bool isStorePoller = true;                   // until a peer with a lower host hash reports
  std::uint64_t newestEntryRevision = 0;       // newest backend server entry seen by this daemon
  std::uint64_t peersNewestEntryRevision = 0;  // newest backend server entry seen by any peer
  std::uint64_t peersConfigurationVersion = 0; // highest version in force at any peer

  bool operator==(const StoreSyncState&) const = default;
};

} // namespace masticstep::relay
