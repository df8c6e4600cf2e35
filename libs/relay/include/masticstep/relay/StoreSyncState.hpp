#pragma once

#include <cstdint>

namespace masticstep::relay {

// What this daemon and the others of its data centre know of the platform's store. One daemon of
// the data centre, the sentinel, asks the store often; the others learn from its reports that they
// have missed something, so that the store's load does not grow with the daemons.
struct StoreSyncState
{
  bool isStorePoller = true;             // until another daemon is heard that goes before this one
  std::uint64_t newestEntryRevision = 0; // of a backend server, by this daemon
  std::uint64_t peersNewestEntryRevision = 0;  // by the others
  std::uint64_t peersConfigurationVersion = 0; // highest version in force at another daemon

  bool operator==(const StoreSyncState&) const = default;
};

} // namespace masticstep::relay
