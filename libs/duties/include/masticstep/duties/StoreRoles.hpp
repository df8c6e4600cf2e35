#pragma once

#include "masticstep/base/Identifier.hpp"

#include <vector>

namespace masticstep::duties {

// A daemon of the own data centre, as it reports itself.
struct StorePeer
{
  HostName host;
  // Whether it cannot act as store poller: the store does not answer it, or it starts or stops.
  bool needsStandby = false;

  bool operator==(const StorePeer&) const = default;
};

// Which part a daemon takes in following and writing the platform's store for its data centre. The
// two daemons with the lowest host hashes are the store watchers. The first of them is the store
// poller. The second one is its standby, and acts as store poller too while the first cannot.
//
// The first watcher goes on trying while its standby acts, so a wrong report costs some calls, and
// the role needs no agreement: what a poller writes must not depend on being the only one.
struct StoreRoles
{
  bool isPoller = false;
  bool isWatcher = false;
  bool hasFollowers = false; // whether there are enough peers for some to be no watchers
  std::vector<HostName> otherWatchers;

  bool operator==(const StoreRoles&) const = default;
};

// Returns the roles of a daemon among its data centre's daemons, without itself, that are active.
StoreRoles AssignStoreRoles(const HostName& aOwn, std::vector<StorePeer> aPeers);

} // namespace masticstep::duties
