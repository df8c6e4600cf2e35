#include "masticstep/publication/Publisher.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::publication {

using platform::ConditionalWrite;
using platform::PlatformReply;
using platform::PlatformRequest;
using platform::PlatformStatus;
using platform::ReadRequest;

namespace {

// Allows two attempts within one second, a delay that the operator hardly notices.
constexpr Duration kRetryDelay = Milliseconds(500);

std::uint64_t RevisionOf(const Manifest& aManifest, const ServiceName& aService)
{
  const std::map<ServiceName, ManifestEntry>::const_iterator it = aManifest.services.find(aService);
  return it == aManifest.services.end() ? 0 : it->second.revision;
}

} // namespace

Publisher::Publisher(PublishRequest aRequest)
  : mRequest(std::move(aRequest))
{
  for (const ServiceContent& service : mRequest.services) {
    std::string text = EncodeContent(service.files);
    std::string digest = Sha256Hex(text);
    mContents.emplace(std::move(digest), std::move(text));
  }
}

Publisher::Request Publisher::Start(Time)
{
  return SendStepRequest();
}

Publisher::Request Publisher::OnPlatformReply(const PlatformReply& aReply, Time aNow)
{
  if (!mIsAwaitingReply || aReply.number != mRequestNumber) {
    return std::nullopt;
  }
  mIsAwaitingReply = false;
  switch (mStep) {
    case Step::ReadManifest:
      return OnManifestRead(aReply, aNow);
    case Step::ReadContent:
      return OnContentRead(aReply, aNow);
    case Step::WriteContent:
      return OnContentWritten(aReply, aNow);
    case Step::WriteManifest:
      return OnManifestWritten(aReply, aNow);
    case Step::Finished:
      break;
  }
  return std::nullopt;
}

Publisher::Request Publisher::OnTime(Time aNow)
{
  if (mStep == Step::Finished) {
    return std::nullopt;
  }
  if (aNow >= mRequest.deadline) {
    const bool isWritingManifest = mStep == Step::WriteManifest && mIsAwaitingReply;
    return Finish({ PublishStatus::Unavailable, 0, {}, mHasUnconfirmedWrite || isWritingManifest });
  }
  if (mRetryAt && aNow >= *mRetryAt) {
    mRetryAt.reset();
    return SendStepRequest();
  }
  return std::nullopt;
}

std::optional<Time> Publisher::NextWakeUp() const
{
  if (mStep == Step::Finished) {
    return std::nullopt;
  }
  return mRetryAt ? std::min(*mRetryAt, mRequest.deadline) : mRequest.deadline;
}

Publisher::Request Publisher::Send(platform::PlatformCall aCall)
{
  mIsAwaitingReply = true;
  return PlatformRequest{ ++mRequestNumber, std::move(aCall) };
}

// Sends the platform request of the current step.
Publisher::Request Publisher::SendStepRequest()
{
  if (mStep == Step::ReadContent) {
    return Send(ReadRequest{ ContentKey(MissingDigests(BuildNextManifest(), mContents).front()) });
  }
  if (mStep == Step::WriteContent) {
    for (const std::pair<const ServiceName, ManifestEntry>& item : BuildNextManifest().services) {
      const std::string& digest = item.second.digest;
      if (item.second.publisher == mRequest.nonce &&
          std::find(mWrittenDigests.begin(), mWrittenDigests.end(), digest) ==
            mWrittenDigests.end()) {
        mWrittenDigests.push_back(digest);
        return Send(ConditionalWrite{ ContentKey(digest), std::nullopt, mContents.at(digest) });
      }
    }
    mStep = Step::WriteManifest;
  }
  if (mStep == Step::WriteManifest) {
    return Send(
      ConditionalWrite{ ManifestKey(), mManifestVersion, EncodeManifest(BuildNextManifest()) });
  }
  return Send(ReadRequest{ ManifestKey() });
}

Publisher::Request Publisher::ScheduleRetry(Time aNow)
{
  mRetryAt = aNow + kRetryDelay;
  return std::nullopt;
}

Publisher::Request Publisher::Finish(PublishOutcome aOutcome)
{
  mStep = Step::Finished;
  mIsAwaitingReply = false;
  mRetryAt.reset();
  mOutcome = std::move(aOutcome);
  return std::nullopt;
}

Publisher::Request Publisher::OnManifestRead(const PlatformReply& aReply, Time aNow)
{
  Manifest manifest;
  if (aReply.status == PlatformStatus::Done) {
    Result<Manifest, Faults> parsed = ParseManifest(aReply.body);
    if (!parsed) {
      return Finish({ PublishStatus::BadInput, 0, parsed.error(), mHasUnconfirmedWrite });
    }
    manifest = std::move(*parsed);
  } else if (aReply.status != PlatformStatus::NotFound) {
    return ScheduleRetry(aNow);
  }
  mManifestVersion = aReply.status == PlatformStatus::Done ? aReply.version : std::nullopt;
  if (ContainsOwnUpdate(manifest)) {
    return Finish({ PublishStatus::Accepted, manifest.generation, {}, false });
  }
  if (!mInitialManifest) {
    mInitialManifest = manifest;
  }
  if (HasConflict(manifest)) {
    return Finish({ PublishStatus::Conflict, 0, {}, mHasUnconfirmedWrite });
  }
  mManifest = std::move(manifest);
  return ValidateAndWrite();
}

Publisher::Request Publisher::ValidateAndWrite()
{
  const Manifest next = BuildNextManifest();
  if (!MissingDigests(next, mContents).empty()) {
    mStep = Step::ReadContent;
    return SendStepRequest();
  }
  const Result<Configuration, Faults> checked = BuildConfiguration(next, mContents);
  if (!checked) {
    return Finish({ PublishStatus::BadInput, 0, checked.error(), mHasUnconfirmedWrite });
  }
  mStep = mFaults.writesManifestFirst ? Step::WriteManifest : Step::WriteContent;
  return SendStepRequest();
}

Publisher::Request Publisher::OnContentRead(const PlatformReply& aReply, Time aNow)
{
  const std::string digest = MissingDigests(BuildNextManifest(), mContents).front();
  // Retries a missing or corrupted content object, since its publisher may still write it again.
  if (aReply.status != PlatformStatus::Done || Sha256Hex(aReply.body) != digest) {
    return ScheduleRetry(aNow);
  }
  mContents.emplace(digest, aReply.body);
  return ValidateAndWrite();
}

Publisher::Request Publisher::OnContentWritten(const PlatformReply& aReply, Time aNow)
{
  if (aReply.status == PlatformStatus::TooLarge) {
    return Finish({ PublishStatus::BadInput,
                    0,
                    { { mWrittenDigests.back(), "$", "content exceeds the size limit of one object",
                        "at most 1 MiB per service" } },
                    mHasUnconfirmedWrite });
  }
  // A conflict means that the object exists already. Its key is the digest, so the content is the
  // same.
  if (aReply.status != PlatformStatus::Done && aReply.status != PlatformStatus::Conflict) {
    mWrittenDigests.pop_back();
    return ScheduleRetry(aNow);
  }
  return SendStepRequest();
}

Publisher::Request Publisher::OnManifestWritten(const PlatformReply& aReply, Time aNow)
{
  if (aReply.status == PlatformStatus::Done) {
    return Finish({ PublishStatus::Accepted, mManifest.generation + 1, {}, false });
  }
  if (aReply.status == PlatformStatus::Unknown && mFaults.skipsReadBack) {
    return Finish({ PublishStatus::Unavailable, 0, {}, false });
  }
  mHasUnconfirmedWrite = mHasUnconfirmedWrite || aReply.status == PlatformStatus::Unknown;
  mStep = Step::ReadManifest;
  return aReply.status == PlatformStatus::Conflict ? SendStepRequest() : ScheduleRetry(aNow);
}

bool Publisher::ContainsOwnUpdate(const Manifest& aManifest) const
{
  for (const ServiceContent& service : mRequest.services) {
    const std::map<ServiceName, ManifestEntry>::const_iterator it =
      aManifest.services.find(service.name);
    if (it != aManifest.services.end() && it->second.publisher == mRequest.nonce) {
      return true;
    }
  }
  return false;
}

bool Publisher::HasConflict(const Manifest& aManifest) const
{
  return std::any_of(
    mRequest.services.begin(), mRequest.services.end(), [&](const ServiceContent& aService) {
      return RevisionOf(aManifest, aService.name) != RevisionOf(*mInitialManifest, aService.name);
    });
}

Manifest Publisher::BuildNextManifest() const
{
  Manifest next = mManifest;
  ++next.generation;
  for (const ServiceContent& service : mRequest.services) {
    const std::uint64_t revision = RevisionOf(mManifest, service.name) + 1;
    next.services[service.name] = { Sha256Hex(EncodeContent(service.files)), revision,
                                    mRequest.nonce };
  }
  return next;
}

} // namespace masticstep::publication
