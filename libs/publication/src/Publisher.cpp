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

// Two tries fit in the second that an operator barely notices.
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
  return Continue();
}

Publisher::Request Publisher::OnPlatformReply(const PlatformReply& aReply, Time aNow)
{
  if (!mIsWaiting || aReply.number != mNumber) {
    return std::nullopt;
  }
  mIsWaiting = false;
  switch (mStep) {
    case Step::ReadManifest:
      return OnManifest(aReply, aNow);
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
    const bool writing = mStep == Step::WriteManifest && mIsWaiting;
    return Finish({ PublishStatus::Unavailable, 0, {}, mHasUnknownWrite || writing });
  }
  if (mRetryAt && aNow >= *mRetryAt) {
    mRetryAt.reset();
    return Continue();
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
  mIsWaiting = true;
  return PlatformRequest{ ++mNumber, std::move(aCall) };
}

// Makes the call of the present step.
Publisher::Request Publisher::Continue()
{
  if (mStep == Step::ReadContent) {
    return Send(ReadRequest{ ContentKey(MissingDigests(NewManifest(), mContents).front()) });
  }
  if (mStep == Step::WriteContent) {
    for (const std::pair<const ServiceName, ManifestEntry>& item : NewManifest().services) {
      const std::string& digest = item.second.digest;
      if (item.second.publisher == mRequest.nonce &&
          std::find(mWritten.begin(), mWritten.end(), digest) == mWritten.end()) {
        mWritten.push_back(digest);
        return Send(ConditionalWrite{ ContentKey(digest), std::nullopt, mContents.at(digest) });
      }
    }
    mStep = Step::WriteManifest;
  }
  if (mStep == Step::WriteManifest) {
    return Send(ConditionalWrite{ ManifestKey(), mVersion, EncodeManifest(NewManifest()) });
  }
  return Send(ReadRequest{ ManifestKey() });
}

Publisher::Request Publisher::RetryLater(Time aNow)
{
  mRetryAt = aNow + kRetryDelay;
  return std::nullopt;
}

Publisher::Request Publisher::Finish(PublishOutcome aOutcome)
{
  mStep = Step::Finished;
  mIsWaiting = false;
  mRetryAt.reset();
  mOutcome = std::move(aOutcome);
  return std::nullopt;
}

Publisher::Request Publisher::OnManifest(const PlatformReply& aReply, Time aNow)
{
  Manifest manifest;
  if (aReply.status == PlatformStatus::Done) {
    Result<Manifest, Faults> parsed = ParseManifest(aReply.body);
    if (!parsed) {
      return Finish({ PublishStatus::BadInput, 0, parsed.error(), mHasUnknownWrite });
    }
    manifest = std::move(*parsed);
  } else if (aReply.status != PlatformStatus::NotFound) {
    return RetryLater(aNow);
  }
  mVersion = aReply.status == PlatformStatus::Done ? aReply.version : std::nullopt;
  if (IsMine(manifest)) {
    return Finish({ PublishStatus::Accepted, manifest.generation, {}, false });
  }
  if (!mBase) {
    mBase = manifest;
  }
  if (HasConflict(manifest)) {
    return Finish({ PublishStatus::Conflict, 0, {}, mHasUnknownWrite });
  }
  mManifest = std::move(manifest);
  return CheckAndWrite();
}

Publisher::Request Publisher::CheckAndWrite()
{
  const Manifest next = NewManifest();
  if (!MissingDigests(next, mContents).empty()) {
    mStep = Step::ReadContent;
    return Continue();
  }
  const Result<Configuration, Faults> checked = BuildConfiguration(next, mContents);
  if (!checked) {
    return Finish({ PublishStatus::BadInput, 0, checked.error(), mHasUnknownWrite });
  }
  mStep = mFaults.manifestBeforeContent ? Step::WriteManifest : Step::WriteContent;
  return Continue();
}

Publisher::Request Publisher::OnContentRead(const PlatformReply& aReply, Time aNow)
{
  const std::string digest = MissingDigests(NewManifest(), mContents).front();
  // A missing or damaged content object is read again: it may be written again by its publisher.
  if (aReply.status != PlatformStatus::Done || Sha256Hex(aReply.body) != digest) {
    return RetryLater(aNow);
  }
  mContents.emplace(digest, aReply.body);
  return CheckAndWrite();
}

Publisher::Request Publisher::OnContentWritten(const PlatformReply& aReply, Time aNow)
{
  if (aReply.status == PlatformStatus::TooLarge) {
    return Finish({ PublishStatus::BadInput,
                    0,
                    { { mWritten.back(), "$", "content exceeds one object", "1 MiB a service" } },
                    mHasUnknownWrite });
  }
  // A conflict means that the object exists; equal digests mean equal contents.
  if (aReply.status != PlatformStatus::Done && aReply.status != PlatformStatus::Conflict) {
    mWritten.pop_back();
    return RetryLater(aNow);
  }
  return Continue();
}

Publisher::Request Publisher::OnManifestWritten(const PlatformReply& aReply, Time aNow)
{
  if (aReply.status == PlatformStatus::Done) {
    return Finish({ PublishStatus::Accepted, mManifest.generation + 1, {}, false });
  }
  if (aReply.status == PlatformStatus::Unknown && mFaults.noReadBack) {
    return Finish({ PublishStatus::Unavailable, 0, {}, false });
  }
  mHasUnknownWrite = mHasUnknownWrite || aReply.status == PlatformStatus::Unknown;
  mStep = Step::ReadManifest;
  return aReply.status == PlatformStatus::Conflict ? Continue() : RetryLater(aNow);
}

bool Publisher::IsMine(const Manifest& aManifest) const
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
      return RevisionOf(aManifest, aService.name) != RevisionOf(*mBase, aService.name);
    });
}

Manifest Publisher::NewManifest() const
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
