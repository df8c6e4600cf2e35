#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/platform/PlatformReply.hpp"
#include "masticstep/platform/PlatformRequest.hpp"
#include "masticstep/publication/Manifest.hpp"
#include "masticstep/publication/ServiceContent.hpp"

#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace masticstep::publication {

// Input of one publish run.
struct PublishRequest
{
  std::vector<ServiceContent> services;
  std::string nonce; // unique to this run
  Time deadline;     // the run ends as Unavailable after it

  auto operator<=>(const PublishRequest&) const = default;
};

enum class PublishStatus
{
  Accepted,   // the new generation is durable
  BadInput,   // the configuration as a whole is invalid; nothing was changed
  Conflict,   // a concurrent run published one of the same services
  Unavailable // the platform did not complete the run before the deadline
};

struct PublishOutcome
{
  PublishStatus status = PublishStatus::Unavailable;
  std::uint64_t generation = 0; // set if Accepted
  Faults faults;                // set if BadInput
  // Whether the update of a run that was not Accepted may have taken effect, because the reply to
  // the manifest write was lost or had not arrived yet.
  bool maybeAccepted = false;

  auto operator<=>(const PublishOutcome&) const = default;
};

// State machine of one publish run. It validates the new contents together with the published
// contents of all other services, writes the content objects, then replaces the manifest by a
// conditional write. A run that is interrupted before this write leaves the old manifest in force.
class Publisher
{
public:
  explicit Publisher(PublishRequest aRequest);

  // Each function returns the platform request to send next, if any. At most one is outstanding.
  std::optional<platform::PlatformRequest> Start(Time aNow);
  std::optional<platform::PlatformRequest> OnPlatformReply(const platform::PlatformReply& aReply,
                                                           Time aNow);
  std::optional<platform::PlatformRequest> OnTime(Time aNow);
  std::optional<Time> NextWakeUp() const;

  // Empty until the run has ended.
  const std::optional<PublishOutcome>& Outcome() const { return mOutcome; }

  // All members, for state comparison in tests.
  auto State() const
  {
    return std::tie(mRequest, mStep, mRequestNumber, mIsAwaitingReply, mRetryAt, mInitialManifest,
                    mManifest, mManifestVersion, mContents, mWrittenDigests, mHasUnconfirmedWrite,
                    mOutcome, mFaults);
  }

private:
  friend class PlantedFault; // defined only in tests

  // Protocol faults that the explorer tests must detect; all off in production.
  struct PlantedFaults
  {
    bool writesManifestFirst = false;
    bool skipsReadBack = false;

    auto operator<=>(const PlantedFaults&) const = default;
  };

  enum class Step
  {
    ReadManifest,
    ReadContent,
    WriteContent,
    WriteManifest,
    Finished
  };

  using Request = std::optional<platform::PlatformRequest>;

  Request Send(platform::PlatformCall aCall);
  Request SendStepRequest();
  Request ScheduleRetry(Time aNow);
  Request Finish(PublishOutcome aOutcome);
  Request OnManifestRead(const platform::PlatformReply& aReply, Time aNow);
  Request OnContentRead(const platform::PlatformReply& aReply, Time aNow);
  Request OnContentWritten(const platform::PlatformReply& aReply, Time aNow);
  Request OnManifestWritten(const platform::PlatformReply& aReply, Time aNow);
  Request ValidateAndWrite();
  bool ContainsOwnUpdate(const Manifest& aManifest) const;
  bool HasConflict(const Manifest& aManifest) const;
  Manifest BuildNextManifest() const;

  PublishRequest mRequest;
  Step mStep = Step::ReadManifest;
  std::uint64_t mRequestNumber = 0; // of the outstanding or latest request
  bool mIsAwaitingReply = false;
  std::optional<Time> mRetryAt;
  // Manifest as first read, to detect concurrent runs that publish the same services.
  std::optional<Manifest> mInitialManifest;
  Manifest mManifest; // as last read
  std::optional<platform::Version> mManifestVersion;
  ContentsByDigest mContents;               // of this run and of published services
  std::vector<std::string> mWrittenDigests; // stored; the last write may be outstanding
  bool mHasUnconfirmedWrite = false;        // a manifest write whose reply was lost
  std::optional<PublishOutcome> mOutcome;
  PlantedFaults mFaults;
};

} // namespace masticstep::publication
