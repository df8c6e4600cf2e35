#include "Shard.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::orders {

using platform::PlatformReply;
using platform::PlatformStatus;

namespace {

constexpr Duration kInitialBackoff = Milliseconds(50);
constexpr Duration kMaximumBackoff = Seconds(2);

} // namespace

bool Shard::OnReply(const PlatformReply& aReply, Time aNow, ShardActions& aActions)
{
  if (mFloorCheck == FloorCheck::Reading && aReply.number == mFloorNumber) {
    OnFloorReply(aReply, aNow);
  } else if (mCallInFlight != Call::None && aReply.number == mCallNumber) {
    const Call call = std::exchange(mCallInFlight, Call::None);
    call == Call::Read ? OnReadReply(aReply, aNow) : OnWriteReply(aReply, aNow);
  } else {
    return false;
  }
  ResolveClaims(aActions);
  return true;
}

void Shard::OnReadReply(const PlatformReply& aReply, Time aNow)
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
  mValidatedAt = aNow;
  mRecords = std::move(*records);
  mReservedBytes = 0;
  for (const Records::value_type& item : mRecords) {
    mReservedBytes += ReservedBytes(item.second);
  }
  mVersion = aReply.version;
  mLoaded = true;
  mFloorCheck = FloorCheck::Unchecked;
  mFloorRetryAt.reset();
  for (PendingClaim& claim : mClaims) {
    const ClaimRecord* found = Find(claim.record.key);
    claim.durable = found != nullptr && found->nonce == claim.record.nonce;
  }
  // The read reflects every earlier write except one that is still in transit. If that write takes
  // effect later, it leaves a claim without outcome, whose call is never dispatched.
  std::erase_if(mClaims,
                [](const PendingClaim& aClaim) { return aClaim.cancelled && !aClaim.durable; });
}

void Shard::OnWriteReply(const PlatformReply& aReply, Time aNow)
{
  const bool applied =
    aReply.status == PlatformStatus::Done ||
    (aReply.status == PlatformStatus::Unknown && mOptions.assumeLostRepliesApplied);
  if (applied) {
    mBackoff = Duration{};
    mValidatedAt = aNow;
    if (!mVersion) {
      mFloorCheck = FloorCheck::Unchecked;
    }
    mVersion = aReply.status == PlatformStatus::Done ? aReply.version : platform::Version{};
    ApplyWrite();
    return;
  }
  for (OutcomeTable::value_type& item : mOutcomesInFlight) {
    mOutcomes.insert(std::move(item));
  }
  mOutcomesInFlight.clear();
  for (PendingClaim& claim : mClaims) {
    claim.replyLost = claim.replyLost || (claim.sent && aReply.status == PlatformStatus::Unknown);
    claim.sent = claim.replyLost || claim.durable;
  }
  if (HasPendingChanges()) {
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
  for (const ClaimRecord& claim : mClaimsInFlight) {
    mRecords.emplace(claim.key, claim);
    mReservedBytes += ReservedBytes(claim);
  }
  for (const OutcomeTable::value_type& item : mOutcomesInFlight) {
    const Records::iterator it = mRecords.find(item.first);
    if (it != mRecords.end() && it->second.nonce == item.second.nonce) {
      mReservedBytes -= ReservedBytes(it->second);
      it->second.outcome = item.second.outcome;
      mReservedBytes += ReservedBytes(it->second);
    }
  }
  mOutcomesInFlight.clear();
  for (PendingClaim& claim : mClaims) {
    const ClaimRecord* found = Find(claim.record.key);
    claim.durable = found != nullptr && found->nonce == claim.record.nonce;
  }
}

void Shard::OnFloorReply(const PlatformReply& aReply, Time aNow)
{
  mFloorCheck = FloorCheck::Unchecked;
  std::optional<std::uint64_t> floor;
  if (aReply.status == PlatformStatus::NotFound) {
    floor = 0;
  } else if (aReply.status == PlatformStatus::Done) {
    floor = ParseFloor(aReply.body);
  }
  if (!floor) {
    mFloorRetryAt = aNow + kInitialBackoff;
    return;
  }
  mFloorCheck = FloorCheck::Passed;
  mIsBelowFloor = mKey.bucket < *floor && !mOptions.skipFloorCheck;
  if (mIsBelowFloor) {
    mOutcomes.clear();
  }
}

void Shard::BackOff(Time aNow)
{
  mBackoff = mBackoff == Duration{} ? kInitialBackoff : std::min(mBackoff * 2, kMaximumBackoff);
  mRetryAt = aNow + mBackoff;
}

} // namespace masticstep::orders
