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

// Buckets are listed in groups that share all but their last two digits: 100 buckets or 1,000 s,
// some hundred objects.
constexpr std::uint64_t kGroupBuckets = 100;
constexpr std::uint64_t kRecentGroups = 2;
// A run looks back seven days if there was no floor, otherwise a day, in case an earlier run ended
// before it had deleted everything.
constexpr std::uint64_t kFirstLookBack = 60480;
constexpr std::uint64_t kLookBack = 8640;
// A floor that is at most ten minutes behind is left alone, so that of many daemons one does the
// work.
constexpr std::uint64_t kFreshBuckets = 60;

std::string FolderOf(const ServiceName& aService)
{
  return "orders/" + aService.Text() + "/";
}

std::string PrefixOf(const ServiceName& aService, std::uint64_t aGroup)
{
  const std::string object = ObjectOf({ aService, aGroup * kGroupBuckets, 0 }).Text();
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
  , mNow(BucketOf(aNow))
  , mFloor(mNow > kRetainedBuckets ? mNow - kRetainedBuckets : 0)
{
}

Retention::Request Retention::Start()
{
  return Send(ReadRequest{ FloorObjectOf(mService) });
}

Retention::Request Retention::OnPlatformReply(const PlatformReply& aReply)
{
  if (mStep == Step::Finished || aReply.number != mNumber) {
    return std::nullopt;
  }
  switch (mStep) {
    case Step::ReadFloor:
      return OnFloor(aReply);
    case Step::FindRecent:
      return OnRecent(aReply);
    case Step::WriteFloor:
      // After a conflict or a lost answer a later run looks again; nothing may be deleted now.
      if (aReply.status != PlatformStatus::Done) {
        return Finish();
      }
      mStep = Step::ListOld;
      return List(mGroup);
    case Step::ListOld:
      return OnOld(aReply);
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
  return PlatformRequest{ ++mNumber, std::move(aCall) };
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
  if (!floor || *floor + kFreshBuckets >= mFloor) {
    return Finish();
  }
  mVersion = aReply.version;
  const std::uint64_t lookBack = *floor == 0 ? kFirstLookBack : kLookBack;
  mOldest = mFloor > lookBack ? mFloor - lookBack : 0;
  mGroup = mNow / kGroupBuckets;
  mStep = Step::FindRecent;
  return List(mGroup);
}

Retention::Request Retention::OnRecent(const PlatformReply& aReply)
{
  if (aReply.status != PlatformStatus::Done) {
    return Finish();
  }
  if (aReply.items.empty()) {
    const bool more = mGroup > 0 && mNow / kGroupBuckets - mGroup + 1 < kRecentGroups;
    return more ? List(--mGroup) : Finish();
  }
  mGroup = mOldest / kGroupBuckets;
  mStep = Step::WriteFloor;
  return Send(ConditionalWrite{ FloorObjectOf(mService), mVersion, EncodeFloor(mFloor) });
}

Retention::Request Retention::OnOld(const PlatformReply& aReply)
{
  if (aReply.status != PlatformStatus::Done) {
    return Finish();
  }
  for (const platform::ObjectChange& item : aReply.items) {
    const std::optional<std::uint64_t> bucket = BucketIn(mService, item.key);
    if (bucket && *bucket < mFloor) {
      mOld.push_back(item);
    }
  }
  return NextDelete();
}

Retention::Request Retention::NextDelete()
{
  if (!mOld.empty()) {
    const platform::ObjectChange item = std::move(mOld.back());
    mOld.pop_back();
    mStep = Step::Delete;
    return Send(ConditionalDelete{ item.key, item.version });
  }
  if (mGroup * kGroupBuckets + kGroupBuckets >= mFloor) {
    return Finish();
  }
  mStep = Step::ListOld;
  return List(++mGroup);
}

} // namespace masticstep::orders
