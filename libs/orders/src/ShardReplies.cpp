#include "Shard.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::orders {

using platform::PlatformReply;
using platform::PlatformStatus;

namespace {

constexpr Duration kFirstBackoff = Milliseconds(50);
constexpr Duration kLongestBackoff = Seconds(2);

} // namespace

bool Shard::OnReply(const PlatformReply& aReply, Time aNow, ShardActions& aActions)
{
  if (mFloor == Floor::Reading && aReply.number == mFloorNumber) {
    OnFloor(aReply, aNow);
  } else if (mCall != Call::None && aReply.number == mNumber) {
    const Call call = std::exchange(mCall, Call::None);
    call == Call::Read ? OnRead(aReply, aNow) : OnWritten(aReply, aNow);
  } else {
    return false;
  }
  Resolve(aActions);
  return true;
}

void Shard::OnRead(const PlatformReply& aReply, Time aNow)
{
  std::optional<Records> records = Records{};
  if (aReply.status == PlatformStatus::Done) {
    records = ParseRecords(aReply.body);
  } else if (aReply.status != PlatformStatus::NotFound) {
    records.reset();
  }
  if (!records) {
    BackOff(aNow);
    return;
  }
  mBackoff = Duration{};
  mIsShared = mIsShared && mVersion != aReply.version;
  mSyncedAt = aNow;
  mRecords = std::move(*records);
  mBytes = 0;
  for (const Records::value_type& item : mRecords) {
    mBytes += BytesOf(item.second);
  }
  mVersion = aReply.version;
  mLoaded = true;
  mFloor = Floor::Unchecked;
  mFloorRetryAt.reset();
  for (PendingClaim& claim : mClaims) {
    const ClaimRecord* found = Find(claim.record.key);
    claim.durable = found != nullptr && found->nonce == claim.record.nonce;
  }
  // The read shows the effect of every earlier write but one that is still on its way. If that one
  // arrives later, it leaves a claim without outcome, which never runs.
  std::erase_if(mClaims,
                [](const PendingClaim& aClaim) { return aClaim.withdrawn && !aClaim.durable; });
}

void Shard::OnWritten(const PlatformReply& aReply, Time aNow)
{
  const bool applied =
    aReply.status == PlatformStatus::Done ||
    (aReply.status == PlatformStatus::Unknown && mOptions.assumeLostAnswersApplied);
  if (applied) {
    mBackoff = Duration{};
    mSyncedAt = aNow;
    if (!mVersion) {
      mFloor = Floor::Unchecked;
    }
    mVersion = aReply.status == PlatformStatus::Done ? aReply.version : platform::Version{};
    ApplyWrite();
    return;
  }
  for (OutcomeTable::value_type& item : mWritingOutcomes) {
    mOutcomes.insert(std::move(item));
  }
  mWritingOutcomes.clear();
  for (PendingClaim& claim : mClaims) {
    claim.lost = claim.lost || (claim.sent && aReply.status == PlatformStatus::Unknown);
    claim.sent = claim.lost || claim.durable;
  }
  if (HasMutations()) {
    mWriteAt = aNow;
  }
  mIsShared = mIsShared || aReply.status == PlatformStatus::Conflict;
  if (aReply.status == PlatformStatus::Conflict || aReply.status == PlatformStatus::Unknown) {
    mLoaded = false;
  }
  if (aReply.status != PlatformStatus::Conflict) {
    BackOff(aNow);
  }
}

void Shard::ApplyWrite()
{
  for (const ClaimRecord& claim : mWriting) {
    mRecords.emplace(claim.key, claim);
    mBytes += BytesOf(claim);
  }
  for (const OutcomeTable::value_type& item : mWritingOutcomes) {
    const Records::iterator it = mRecords.find(item.first);
    if (it != mRecords.end() && it->second.nonce == item.second.nonce) {
      mBytes -= BytesOf(it->second);
      it->second.outcome = item.second.outcome;
      mBytes += BytesOf(it->second);
    }
  }
  mWritingOutcomes.clear();
  for (PendingClaim& claim : mClaims) {
    const ClaimRecord* found = Find(claim.record.key);
    claim.durable = found != nullptr && found->nonce == claim.record.nonce;
  }
}

void Shard::OnFloor(const PlatformReply& aReply, Time aNow)
{
  mFloor = Floor::Unchecked;
  std::optional<std::uint64_t> floor;
  if (aReply.status == PlatformStatus::NotFound) {
    floor = 0;
  } else if (aReply.status == PlatformStatus::Done) {
    floor = ParseFloor(aReply.body);
  }
  if (!floor) {
    mFloorRetryAt = aNow + kFirstBackoff;
    return;
  }
  mFloor = Floor::Passed;
  mDropped = mKey.bucket < *floor && !mOptions.skipFloorCheck;
  if (mDropped) {
    mOutcomes.clear();
  }
}

void Shard::BackOff(Time aNow)
{
  mBackoff = mBackoff == Duration{} ? kFirstBackoff : std::min(mBackoff * 2, kLongestBackoff);
  mRetryAt = aNow + mBackoff;
}

} // namespace masticstep::orders
