#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/orders/WallTime.hpp"
#include "masticstep/platform/PlatformReply.hpp"
#include "masticstep/platform/PlatformRequest.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace masticstep::orders {

// One run that drops the order records of a service that are older than 48 h: it advances the floor
// first and deletes the objects below it afterwards. Any daemon may run it, several at once too.
//
// A host whose clock is ahead would drop records that are still needed. A run therefore ends
// without a change unless records exist whose date is close to the host's clock.
class Retention
{
public:
  // Each bucket holds 10 s, so that 48 h are 17,280 buckets.
  static constexpr std::uint64_t kRetainedBuckets = 17280;

  Retention(ServiceName aService, WallTime aNow);

  // Each function returns the platform call to make next, if any. At most one is outstanding.
  std::optional<platform::PlatformRequest> Start();
  std::optional<platform::PlatformRequest> OnPlatformReply(const platform::PlatformReply& aReply);

  // A run also ends at the first call that fails; a later run continues.
  bool IsFinished() const { return mStep == Step::Finished; }
  std::uint64_t Deleted() const { return mDeleted; }

private:
  enum class Step
  {
    ReadFloor,
    FindRecent, // records close to the host's clock
    WriteFloor,
    ListOld,
    Delete,
    Finished
  };
  using Request = std::optional<platform::PlatformRequest>;

  Request Send(platform::PlatformCall aCall);
  Request List(std::uint64_t aGroup);
  Request Finish();
  Request OnRecent(const platform::PlatformReply& aReply);
  Request OnFloor(const platform::PlatformReply& aReply);
  Request OnOld(const platform::PlatformReply& aReply);
  Request NextDelete();

  ServiceName mService;
  std::uint64_t mNow;                        // bucket of the host's clock
  std::uint64_t mFloor;                      // to be reached
  std::uint64_t mOldest = 0;                 // bucket from which to look for old records
  std::optional<platform::Version> mVersion; // of the floor object
  Step mStep = Step::ReadFloor;
  std::uint64_t mNumber = 0;
  std::uint64_t mGroup = 0; // being listed
  std::vector<platform::ObjectChange> mOld;
  std::uint64_t mDeleted = 0;
};

} // namespace masticstep::orders
