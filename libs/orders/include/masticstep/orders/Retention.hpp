#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/orders/WallTime.hpp"
#include "masticstep/platform/PlatformReply.hpp"
#include "masticstep/platform/PlatformRequest.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace masticstep::orders {

// One retention run, which deletes the order records of a service that are older than 48 h. It
// first advances the floor (the oldest retained bucket) and then deletes the objects below it. Runs
// may execute concurrently on several daemons.
//
// A host whose clock is ahead would delete records that are still needed. A run therefore ends
// without changes unless there are records dated close to the clock of the host.
class Retention
{
public:
  // 48 h in buckets of 10 s.
  static constexpr std::uint64_t kRetainedBuckets = 17280;

  Retention(ServiceName aService, WallTime aNow);

  // Both functions return the next platform request, if any. At most one request is outstanding.
  std::optional<platform::PlatformRequest> Start();
  std::optional<platform::PlatformRequest> OnPlatformReply(const platform::PlatformReply& aReply);

  // A run also finishes at the first request that fails; a later run continues the work.
  bool IsFinished() const { return mStep == Step::Finished; }
  std::uint64_t Deleted() const { return mDeleted; }

private:
  enum class Step
  {
    ReadFloor,
    FindRecent, // looks for records dated close to the clock of the host
    WriteFloor,
    ListExpired,
    Delete,
    Finished
  };
  using Request = std::optional<platform::PlatformRequest>;

  Request Send(platform::PlatformCall aCall);
  Request List(std::uint64_t aGroup);
  Request Finish();
  Request OnRecentList(const platform::PlatformReply& aReply);
  Request OnFloor(const platform::PlatformReply& aReply);
  Request OnExpiredList(const platform::PlatformReply& aReply);
  Request NextDelete();

  ServiceName mService;
  std::uint64_t mCurrentBucket; // at the time of the run, by the clock of the host
  std::uint64_t mNewFloor;      // floor to advance to
  std::uint64_t mScanStart = 0; // bucket at which the scan for expired records starts
  std::optional<platform::Version> mFloorVersion; // of the floor object
  Step mStep = Step::ReadFloor;
  std::uint64_t mLastRequestNumber = 0;
  std::uint64_t mGroup = 0; // group of buckets being listed
  std::vector<platform::ObjectChange> mExpired;
  std::uint64_t mDeleted = 0;
};

} // namespace masticstep::orders
