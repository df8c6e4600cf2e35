#include "masticstep/orders/Retention.hpp"

#include "masticstep/orders/OrderKey.hpp"
#include "masticstep/orders/ShardObject.hpp"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

namespace masticstep::orders {

using platform::ConditionalDelete;
using platform::ConditionalWrite;
using platform::ListRequest;
using platform::PlatformReply;
using platform::PlatformRequest;
using platform::PlatformStatus;
using platform::ReadRequest;

namespace {

// Buckets are listed by the prefix without the last two digits of their index: a group spans 100
// buckets (1,000 s) and holds some hundred objects.
constexpr std::uint64_t kBucketsPerGroup = 100;
constexpr std::uint64_t kRecentGroups = 2;
// Distance below the new floor at which the scan for expired records starts: seven days if there
// was no floor, otherwise one day, to cover objects left over by a run that ended early.
constexpr std::uint64_t kInitialLookBackBuckets = 60480;
constexpr std::uint64_t kLookBackBuckets = 8640;
// A floor that is at most 10 min behind is not advanced, so that one of many daemons does the work.
constexpr std::uint64_t kMinimumFloorAdvanceBuckets = 60;

std::string FolderOf(const ServiceName& aService)
{
  return "orders/" + aService.Text() + "/";
}

std::string PrefixOf(const ServiceName& aService, std::uint64_t aGroup)
{
  const std::string object = ObjectOf({ aService, aGroup * kBucketsPerGroup, 0 }).Text();
  return object.substr(0, FolderOf(aService).size() + 8); // without the last two of ten digits
}

std::optional<std::uint64_t> BucketIn(const ServiceName& aService, const platform::ObjectKey& aKey)
{
  const std::string& text = aKey.Text();
  const std::size_t start = FolderOf(aService).size();
  const std::size_t end = text.find('/', start);
  if (end == std::string::npos) {
    return std::nullopt;
  }
  std::uint64_t bucket = 0;
  const std::from_chars_result result =
    std::from_chars(text.data() + start, text.data() + end, bucket);
  return result.ptr == text.data() + end ? std::optional<std::uint64_t>(bucket) : std::nullopt;
}

} // namespace

Retention::Retention(ServiceName aService, WallTime aNow)
  : mService(std::move(aService))
  , mCurrentBucket(BucketOf(aNow))
  , mNewFloor(mCurrentBucket > kRetainedBuckets ? mCurrentBucket - kRetainedBuckets : 0)
{
}

Retention::Request Retention::Start()
{
  return Send(ReadRequest{ FloorObjectOf(mService) });
}

Retention::Request Retention::OnPlatformReply(const PlatformReply& aReply)
{
  if (mStep == Step::Finished || aReply.number != mLastRequestNumber) {
    return std::nullopt;
  }
  switch (mStep) {
    case Step::ReadFloor:
      return OnFloor(aReply);
    case Step::FindRecent:
      return OnRecentList(aReply);
    case Step::WriteFloor:
      // After a conflict or a lost reply the floor may not be durable, so nothing may be deleted; a
      // later run retries.
      if (aReply.status != PlatformStatus::Done) {
        return Finish();
      }
      mStep = Step::ListExpired;
      return List(mGroup);
    case Step::ListExpired:
      return OnExpiredList(aReply);
    case Step::Delete:
      mDeleted += aReply.status == PlatformStatus::Done ? 1 : 0;
      return NextDelete();
    case Step::Finished:
      break;
  }
  return std::nullopt;
}

Retention::Request Retention::Send(platform::PlatformCall aCall)
{
  return PlatformRequest{ ++mLastRequestNumber, std::move(aCall) };
}

Retention::Request Retention::List(std::uint64_t aGroup)
{
  return Send(ListRequest{ PrefixOf(mService, aGroup) });
}

Retention::Request Retention::Finish()
{
  mStep = Step::Finished;
  return std::nullopt;
}

Retention::Request Retention::OnFloor(const PlatformReply& aReply)
{
  std::optional<std::uint64_t> floor;
  if (aReply.status == PlatformStatus::Done) {
    floor = ParseFloor(aReply.body);
  } else if (aReply.status == PlatformStatus::NotFound) {
    floor = 0;
  }
  if (!floor || *floor + kMinimumFloorAdvanceBuckets >= mNewFloor) {
    return Finish();
  }
  mFloorVersion = aReply.version;
  const std::uint64_t lookBack = *floor == 0 ? kInitialLookBackBuckets : kLookBackBuckets;
  mScanStart = mNewFloor > lookBack ? mNewFloor - lookBack : 0;
  mGroup = mCurrentBucket / kBucketsPerGroup;
  mStep = Step::FindRecent;
  return List(mGroup);
}

Retention::Request Retention::OnRecentList(const PlatformReply& aReply)
{
  if (aReply.status != PlatformStatus::Done) {
    return Finish();
  }
  if (aReply.items.empty()) {
    const bool more = mGroup > 0 && mCurrentBucket / kBucketsPerGroup - mGroup + 1 < kRecentGroups;
    return more ? List(--mGroup) : Finish();
  }
  mGroup = mScanStart / kBucketsPerGroup;
  mStep = Step::WriteFloor;
  return Send(ConditionalWrite{ FloorObjectOf(mService), mFloorVersion, EncodeFloor(mNewFloor) });
}

Retention::Request Retention::OnExpiredList(const PlatformReply& aReply)
{
  if (aReply.status != PlatformStatus::Done) {
    return Finish();
  }
  for (const platform::ObjectChange& item : aReply.items) {
    const std::optional<std::uint64_t> bucket = BucketIn(mService, item.key);
    if (bucket && *bucket < mNewFloor) {
      mExpired.push_back(item);
    }
  }
  return NextDelete();
}

Retention::Request Retention::NextDelete()
{
  if (!mExpired.empty()) {
    const platform::ObjectChange item = std::move(mExpired.back());
    mExpired.pop_back();
    mStep = Step::Delete;
    return Send(ConditionalDelete{ item.key, item.version });
  }
  if (mGroup * kBucketsPerGroup + kBucketsPerGroup >= mNewFloor) {
    return Finish();
  }
  mStep = Step::ListExpired;
  return List(++mGroup);
}

} // namespace masticstep::orders
