#pragma once

#include "masticstep/authority/Lease.hpp"
#include "masticstep/platform/PlatformReply.hpp"
#include "masticstep/platform/PlatformRequest.hpp"

#include <optional>
#include <string>
#include <tuple>

namespace masticstep::authority {

struct LeaseOptions
{
  platform::ObjectKey key;
  HostName holder;
  std::string processNonce; // different at every process start
  Duration duration = Seconds(10);
  // Whether an earlier process may hold a lease that the store has lost. If so, an absent lease is
  // not taken before it would have expired.
  bool mayHavePredecessor = false;
  // Time after a release before the next holder may take the lease.
  Duration pauseAfterRelease{};

  auto operator<=>(const LeaseOptions&) const = default;
};

// Acquires, renews and releases one lease (docs/AUTHORITY.md). The holder measures the duration on
// its own clock, from before it sends the write. Another process measures the whole duration on its
// own clock, from when it first reads a version, and takes over only that version.
//
// A store that was restored from an older copy may have lost the lease, and may assign its version
// again. Its holder writes it anew while it is valid by its own clock; all others wait for the
// whole duration from when they learn of the new era.
class LeaseManager
{
public:
  explicit LeaseManager(LeaseOptions aOptions);

  // Each function returns the next platform request, if any. At most one is outstanding.
  std::optional<platform::PlatformRequest> OnTime(Time aNow);
  std::optional<platform::PlatformRequest> OnPlatformReply(const platform::PlatformReply& aReply,
                                                           Time aNow);
  std::optional<Time> NextWakeUp() const;
  // Releases the lease at a graceful shutdown, so that the next holder need not wait for its
  // expiry, only for the pause after a release.
  std::optional<platform::PlatformRequest> Release(Time aNow);

  // Check the expiry just before each action; the lease may have expired since the last call.
  LeaseStatus Status() const { return mStatus; }

  // Returns the holder that the store named when it was last read or written; nothing if it named
  // none.
  std::optional<HostName> KnownHolder() const;

  // Returns all members, for comparison of states.
  auto State() const
  {
    return std::tie(mOptions, mStoredLease, mVersion, mVersionObservedAt, mStatus, mStep,
                    mRequestNumber, mWriteCount, mLastWrite, mLastWriteTime, mLastWriteEra, mWakeUp,
                    mIsReleasing, mEra, mHasRead, mMayHaveLostLease, mFaults);
  }

private:
  friend class PlantedFault; // defined only in tests

  // Protocol faults that the state space exploration in the tests must detect. Off outside tests.
  struct PlantedFaults
  {
    bool countsFromReply = false;
    bool skipsReadBack = false;
    bool takesOverEarly = false;
    bool ignoresEra = false;

    auto operator<=>(const PlantedFaults&) const = default;
  };

  enum class Step
  {
    Waiting, // for mWakeUp
    Reading,
    Writing
  };
  using Request = std::optional<platform::PlatformRequest>;

  Request ReadLease();
  Request WriteLease(std::uint64_t aFencing, Time aNow);
  Request OnRead(const platform::PlatformReply& aReply, Time aNow);
  Request OnWritten(const platform::PlatformReply& aReply, Time aNow);
  Request TakeIfExpired(Time aNow);
  void SetHeld(Time aWriteTime);
  // Notes the era of the store if the reply is one of the store.
  void ObserveEra(const platform::PlatformReply& aReply, Time aNow);
  // Returns whether the latest write was sent before the store was restored.
  bool IsWriteOfEarlierEra() const { return mLastWriteEra != mEra.value_or(mLastWriteEra); }
  // Returns the fencing token for a new holder.
  std::uint64_t NextFencing() const;
  bool IsOwnLease() const;

  LeaseOptions mOptions;
  std::optional<Lease> mStoredLease; // content of mVersion
  std::optional<platform::Version> mVersion;
  Time mVersionObservedAt; // when mVersion was first read or written
  LeaseStatus mStatus;
  Step mStep = Step::Waiting;
  std::uint64_t mRequestNumber = 0; // of the outstanding or latest request
  std::uint64_t mWriteCount = 0;
  Lease mLastWrite;                  // content of the latest write
  Time mLastWriteTime;               // taken just before it was sent
  std::uint64_t mLastWriteEra = 0;   // of the store, as known when it was sent
  std::optional<std::uint64_t> mEra; // newest known era of the store
  bool mHasRead = false;             // whether the lease or its absence has been read
  bool mMayHaveLostLease = false;    // whether an absent lease may have been lost by the store
  std::optional<Time> mWakeUp = Time{};
  bool mIsReleasing = false;
  PlantedFaults mFaults;
};

} // namespace masticstep::authority
