#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/dispatch/Backend.hpp"

#include <map>
#include <optional>
#include <vector>

namespace masticstep::dispatch {

// Backend servers registered in the platform's store. During a store outage, entries of live
// backend servers may expire, so their removal is deferred by a grace period after the store
// recovers, within which a live backend server registers again.
class BackendDirectory
{
public:
  // Time after the store's recovery within which a backend server must register again.
  static constexpr Duration kReregistrationGrace = Milliseconds(2000);

  // Replaces the directory by a complete listing.
  void Replace(std::vector<Backend> aBackends, Time aNow);
  void Set(Backend aBackend);
  // Handles the removal of a store entry.
  void Remove(const BackendServerName& aId, Time aNow);

  // The store became unreachable, or reachable again.
  void OnStoreLost();
  void OnStoreRecovered(Time aNow);

  // Drops backend servers whose grace period has expired. Returns whether any was dropped.
  bool RemoveExpired(Time aNow);
  std::optional<Time> NextWakeUp() const;

  const std::map<BackendServerName, Backend>& Backends() const { return mBackends; }
  // Returns whether a complete listing has been received.
  bool IsLoaded() const { return mIsLoaded; }

private:
  bool MayReregister(Time aNow) const;

  std::map<BackendServerName, Backend> mBackends;
  std::map<BackendServerName, Time> mPendingRemovals; // time at which the entry is dropped
  std::optional<Time> mStoreRecoveredAt;              // end of the latest outage
  bool mIsStoreLost = false;
  bool mIsLoaded = false;
};

} // namespace masticstep::dispatch
