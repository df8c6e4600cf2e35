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
//
// A store that was restored from an older copy of itself shows entries of servers that have left
// and takes back that others are draining. What is known about a process of a server therefore only
// moves forward: from ready to draining to gone.
class BackendDirectory
{
public:
  // Time after the store's recovery within which a backend server must register again.
  static constexpr Duration kReregistrationGrace = Milliseconds(2000);

  // Replaces the directory by a complete listing.
  void Replace(std::vector<Backend> aBackends, Time aNow);
  void Set(Backend aBackend, Time aNow);
  // Handles the removal of a store entry.
  void Remove(const BackendServerName& aId, Time aNow);

  // The store became unreachable, or reachable again.
  void OnStoreLost();
  void OnStoreRecovered(Time aNow);
  // The store came back from an older copy of itself. Must be called before its first listing.
  void OnStoreRestored(Time aNow);
  // Sets the time after which the store drops the entry of a server that has fallen silent.
  void SetEntryLifetime(Duration aLifetime) { mEntryLifetime = aLifetime; }

  // Drops backend servers whose grace period has expired, and adds those whose entries have
  // outlived the time in which the entry of a gone server expires. Returns whether any changed.
  bool RemoveExpired(Time aNow);
  std::optional<Time> NextWakeUp() const;

  const std::map<BackendServerName, Backend>& Backends() const { return mBackends; }
  // Returns whether a complete listing has been received.
  bool IsLoaded() const { return mIsLoaded; }

  // Returns how many listed entries are not used, since their servers left before the store was
  // restored.
  std::size_t DoubtfulCount() const { return mDoubtful.size(); }

private:
  // A server whose entry was removed.
  struct Departure
  {
    std::int64_t startedAtMs = 0;
    Time at{};
  };

  bool MayReregister(Time aNow) const;
  // Returns whether the store may still show entries of servers that are gone.
  bool IsRestoring(Time aNow) const;
  // Returns whether a listed entry may be older than what is known about its server.
  bool IsDoubtful(const Backend& aBackend, Time aNow) const;
  void Erase(const BackendServerName& aId, Time aNow);

  std::map<BackendServerName, Backend> mBackends;
  std::map<BackendServerName, Time> mPendingRemovals; // time at which the entry is dropped
  std::map<BackendServerName, Departure> mDeparted;
  std::map<BackendServerName, Backend> mDoubtful;
  std::optional<Time> mRestoredAt;
  Duration mEntryLifetime = Seconds(4);
  std::optional<Time> mStoreRecoveredAt; // end of the latest outage
  bool mIsStoreLost = false;
  bool mIsLoaded = false;
};

} // namespace masticstep::dispatch
