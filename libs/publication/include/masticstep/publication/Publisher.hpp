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

// What one publish run asks for.
struct PublishRequest
{
  std::vector<ServiceContent> services;
  std::string nonce; // unique to this run
  Time deadline;     // after which the run gives up

  auto operator<=>(const PublishRequest&) const = default;
};

enum class PublishStatus
{
  Accepted,   // the new generation is durable
  BadInput,   // the configuration as a whole has faults; nothing was changed
  Conflict,   // another run published one of the same services meanwhile
  Unavailable // the platform did not answer in time
};

struct PublishOutcome
{
  PublishStatus status = PublishStatus::Unavailable;
  std::uint64_t generation = 0; // if accepted
  Faults faults;                // if the input is bad
  // After Conflict or Unavailable: the run's update may have been accepted, because the answer to
  // it was lost.
  bool maybeAccepted = false;

  auto operator<=>(const PublishOutcome&) const = default;
};

// Publishes new contents of some services: checks them together with the published contents of all
// others, writes the content objects, then replaces the manifest by conditional update. A run that
// stops half-way leaves the old manifest in force.
class Publisher
{
public:
  explicit Publisher(PublishRequest aRequest);

  // Each function returns the platform call to make next, if any. At most one is outstanding.
  std::optional<platform::PlatformRequest> Start(Time aNow);
  std::optional<platform::PlatformRequest> OnPlatformReply(const platform::PlatformReply& aReply,
                                                           Time aNow);
  std::optional<platform::PlatformRequest> OnTime(Time aNow);
  std::optional<Time> NextWakeUp() const;

  // Empty until the run has ended.
  const std::optional<PublishOutcome>& Outcome() const { return mOutcome; }

  // All members, for comparison.
  auto State() const
  {
    return std::tie(mRequest, mStep, mNumber, mIsWaiting, mRetryAt, mBase, mManifest, mVersion,
                    mContents, mWritten, mHasUnknownWrite, mOutcome, mFaults);
  }

private:
  friend class PlantedFault; // defined only in tests

  // Faults that the exploring tests must detect. All are off outside tests.
  struct PlantedFaults
  {
    bool manifestBeforeContent = false;
    bool noReadBack = false;

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
  Request Continue();
  Request RetryLater(Time aNow);
  Request Finish(PublishOutcome aOutcome);
  Request OnManifest(const platform::PlatformReply& aReply, Time aNow);
  Request OnContentRead(const platform::PlatformReply& aReply, Time aNow);
  Request OnContentWritten(const platform::PlatformReply& aReply, Time aNow);
  Request OnManifestWritten(const platform::PlatformReply& aReply, Time aNow);
  Request CheckAndWrite();
  bool IsMine(const Manifest& aManifest) const;
  bool HasConflict(const Manifest& aManifest) const;
  Manifest NewManifest() const;

  PublishRequest mRequest;
  Step mStep = Step::ReadManifest;
  std::uint64_t mNumber = 0; // of the outstanding or latest call
  bool mIsWaiting = false;   // for a reply
  std::optional<Time> mRetryAt;
  std::optional<Manifest> mBase; // as first read; tells whether others published the same services
  Manifest mManifest;            // as last read
  std::optional<platform::Version> mVersion;
  ContentsByDigest mContents;        // own and published ones
  std::vector<std::string> mWritten; // digests that are durable
  bool mHasUnknownWrite = false;     // a manifest write whose answer was lost
  std::optional<PublishOutcome> mOutcome;
  PlantedFaults mFaults;
};

} // namespace masticstep::publication
