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

  auto operator<=>(const LeaseOptions&) const = default;
};

// Acquires, renews and releases one lease (docs/AUTHORITY.md). The holder measures the duration on
// its own clock, from before it sends the write. Another process measures the whole duration on its
// own clock, from when it first reads a version, and takes over only that version.
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
  // expiry.
  std::optional<platform::PlatformRequest> Release(Time aNow);

  // Check the expiry just before each action; the lease may have expired since the last call.
  LeaseStatus Status() const { return mStatus; }

  // Returns all members, for comparison of states.
  auto State() const
  {
    return std::tie(mOptions, mStoredLease, mVersion, mVersionObservedAt, mStatus, mStep,
                    mRequestNumber, mWriteCount, mLastWrite, mLastWriteTime, mWakeUp, mIsReleasing,
                    mFaults);
  }

private:
  friend class PlantedFault; // defined only in tests

  // Protocol faults that the state space exploration in the tests must detect. Off outside tests.
  struct PlantedFaults
  {
    bool countsFromReply = false;
    bool skipsReadBack = false;
    bool takesOverEarly = false;

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
  bool IsOwnLease() const;

  LeaseOptions mOptions;
  std::optional<Lease> mStoredLease; // content of mVersion
  std::optional<platform::Version> mVersion;
  Time mVersionObservedAt; // when mVersion was first read or written
  LeaseStatus mStatus;
  Step mStep = Step::Waiting;
  std::uint64_t mRequestNumber = 0; // of the outstanding or latest request
  std::uint64_t mWriteCount = 0;
  Lease mLastWrite;    // content of the latest write
  Time mLastWriteTime; // taken just before it was sent
  std::optional<Time> mWakeUp = Time{};
  bool mIsReleasing = false;
  PlantedFaults mFaults;
};

} // namespace masticstep::authority
