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
//
// An answer of a server that says that it leaves counts like an entry that says so. Only an entry
// of a later process ends it, or kAnnouncementLifetime in which no further answer said so.
class BackendDirectory
{
public:
  // Time after the store's recovery within which a backend server must register again.
  static constexpr Duration kReregistrationGrace = Milliseconds(2000);
  // A server that still answers and is registered as ready this long after it announced that it
  // leaves is taken for faulty, and gets requests again. Servers leave within seconds.
  static constexpr Duration kAnnouncementLifetime = Seconds(60);

  // Replaces the directory by a complete listing.
  void Replace(std::vector<Backend> aBackends, Time aNow);
  void Set(Backend aBackend, Time aNow);
  // Handles the removal of a store entry.
  void Remove(const BackendServerName& aId, Time aNow);
  // Handles an answer that announced that its server leaves. aStartedAtMs is the start time in the
  // entry with which the server was chosen. Returns whether the server is now draining and was not
  // before.
  bool OnLeavingAnnounced(const BackendServerName& aId, std::int64_t aStartedAtMs, Time aNow);

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

  // A server that announced in an answer that it leaves.
  struct Announcement
  {
    std::int64_t startedAtMs = 0;
    Time at{};                    // of the latest such answer
    bool isEntryDraining = false; // the entry says so, too
  };

  bool MayReregister(Time aNow) const;
  // Makes the entry drain if its server announced that it leaves. An entry of a later process ends
  // the announcement.
  void ApplyAnnouncement(Backend& aBackend);
  // Ends announcements that are too old. Their time begins anew after an outage of the store, in
  // which entries prove nothing. Returns whether a server is ready again.
  bool EndAnnouncements(Time aNow);
  // Returns whether the store may still show entries of servers that are gone.
  bool IsRestoring(Time aNow) const;
  // Returns whether a listed entry may be older than what is known about its server.
  bool IsDoubtful(const Backend& aBackend, Time aNow) const;
  void Erase(const BackendServerName& aId, Time aNow);

  std::map<BackendServerName, Backend> mBackends;
  std::map<BackendServerName, Time> mPendingRemovals; // time at which the entry is dropped
  std::map<BackendServerName, Departure> mDeparted;
  std::map<BackendServerName, Backend> mDoubtful;
  std::map<BackendServerName, Announcement> mAnnouncements;
  std::optional<Time> mRestoredAt;
  Duration mEntryLifetime = Seconds(4);
  std::optional<Time> mStoreRecoveredAt; // end of the latest outage
  bool mIsStoreLost = false;
  bool mIsLoaded = false;
};

} // namespace masticstep::dispatch
