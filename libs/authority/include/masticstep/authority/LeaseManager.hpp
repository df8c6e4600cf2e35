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
  std::string processNonce; // drawn anew at every start of the process
  Duration duration = Seconds(10);

  auto operator<=>(const LeaseOptions&) const = default;
};

// Takes, renews and loses one lease (docs/AUTHORITY.md). The holder counts the duration on its own
// clock from before it sends the write. A successor counts the whole duration on its own clock from
// when it first sees a version, and takes over only that version.
class LeaseManager
{
public:
  explicit LeaseManager(LeaseOptions aOptions);

  // Each function returns the platform call to make next, if any. At most one is outstanding.
  std::optional<platform::PlatformRequest> OnTime(Time aNow);
  std::optional<platform::PlatformRequest> OnPlatformReply(const platform::PlatformReply& aReply,
                                                           Time aNow);
  std::optional<Time> NextWakeUp() const;
  // Gives the lease up at a graceful shutdown, so that a successor need not wait.
  std::optional<platform::PlatformRequest> Release(Time aNow);

  // Compare it with the time just before each act; it may have lapsed since the last call.
  LeaseStatus Status() const { return mView; }

  // All members, for comparison.
  auto State() const
  {
    return std::tie(mOptions, mSeen, mVersion, mSeenAt, mView, mStep, mNumber, mWrites, mWriting,
                    mWritingSince, mWakeUp, mIsReleasing, mFaults);
  }

private:
  friend class PlantedFault; // defined only in tests

  // Faults that the exploring tests must detect. All are off outside tests.
  struct PlantedFaults
  {
    bool countsFromAnswer = false;
    bool noReadBack = false;
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

  Request Read();
  Request Write(std::uint64_t aFencing, Time aNow);
  Request OnRead(const platform::PlatformReply& aReply, Time aNow);
  Request OnWritten(const platform::PlatformReply& aReply, Time aNow);
  Request Consider(Time aNow);
  void Hold(Time aSince);
  bool IsMine() const;

  LeaseOptions mOptions;
  std::optional<Lease> mSeen; // content of mVersion
  std::optional<platform::Version> mVersion;
  Time mSeenAt; // when mVersion was first seen
  LeaseStatus mView;
  Step mStep = Step::Waiting;
  std::uint64_t mNumber = 0; // of the outstanding or latest call
  std::uint64_t mWrites = 0;
  Lease mWriting;     // content of the latest write
  Time mWritingSince; // just before it was sent
  std::optional<Time> mWakeUp = Time{};
  bool mIsReleasing = false;
  PlantedFaults mFaults;
};

} // namespace masticstep::authority
