#include "masticstep/authority/LeaseManager.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::authority {

using platform::ConditionalWrite;
using platform::PlatformReply;
using platform::PlatformRequest;
using platform::PlatformStatus;
using platform::ReadRequest;

namespace {

// The lease expires a tenth early for its holder, which covers clock rates that differ by up to a
// tenth.
constexpr std::int64_t kExpiryMarginDivisor = 10;
// Attempts to renew the lease that fit in its duration.
constexpr std::int64_t kAttemptsPerLease = 3;

} // namespace

LeaseManager::LeaseManager(LeaseOptions aOptions)
  : mOptions(std::move(aOptions))
  , mMayHaveLostLease(mOptions.mayHavePredecessor)
{
}

LeaseManager::Request LeaseManager::OnTime(Time aNow)
{
  if (mStep != Step::Waiting || !mWakeUp || aNow < *mWakeUp) {
    return std::nullopt;
  }
  // The holder renews without a read; other processes read first.
  if (IsOwnLease() && IsLeaseValid(mStatus, aNow)) {
    return WriteLease(mStoredLease->fencing, aNow);
  }
  return ReadLease();
}

LeaseManager::Request LeaseManager::OnPlatformReply(const PlatformReply& aReply, Time aNow)
{
  if (mStep == Step::Waiting || aReply.number != mRequestNumber) {
    return std::nullopt;
  }
  const Step step = std::exchange(mStep, Step::Waiting);
  mWakeUp = aNow + mOptions.duration / kAttemptsPerLease;
  ObserveEra(aReply, aNow);
  return step == Step::Reading ? OnRead(aReply, aNow) : OnWritten(aReply, aNow);
}

void LeaseManager::ObserveEra(const PlatformReply& aReply, Time aNow)
{
  const bool isOfStore =
    aReply.status != PlatformStatus::Unknown && aReply.status != PlatformStatus::NotSent;
  if (!isOfStore || mFaults.ignoresEra || (mEra && aReply.era <= *mEra)) {
    return;
  }
  if (mEra) {
    mMayHaveLostLease = true;
    mVersionObservedAt = aNow;
  }
  mEra = aReply.era;
}

std::uint64_t LeaseManager::NextFencing() const
{
  const std::uint64_t stored = mStoredLease ? mStoredLease->fencing : 0;
  return std::max(stored, FencingBeforeEra(mEra.value_or(0))) + 1;
}

std::optional<Time> LeaseManager::NextWakeUp() const
{
  return mStep == Step::Waiting ? mWakeUp : std::nullopt;
}

LeaseManager::Request LeaseManager::Release(Time aNow)
{
  const bool held = IsOwnLease() && IsLeaseValid(mStatus, aNow);
  mStatus.expiry = aNow;
  mIsReleasing = true;
  mWakeUp.reset();
  if (!held || mStep != Step::Waiting) {
    return std::nullopt;
  }
  return WriteLease(mStoredLease->fencing, aNow);
}

std::optional<HostName> LeaseManager::KnownHolder() const
{
  return mStoredLease ? std::optional<HostName>(mStoredLease->holder) : std::nullopt;
}

bool LeaseManager::IsOwnLease() const
{
  return mStoredLease && mStoredLease->nonce.starts_with(mOptions.processNonce + "-");
}

LeaseManager::Request LeaseManager::ReadLease()
{
  mStep = Step::Reading;
  return PlatformRequest{ ++mRequestNumber, ReadRequest{ mOptions.key } };
}

LeaseManager::Request LeaseManager::WriteLease(std::uint64_t aFencing, Time aNow)
{
  mStep = Step::Writing;
  mLastWriteTime = aNow;
  mLastWriteEra = mEra.value_or(0);
  mLastWrite = { mOptions.holder, mOptions.processNonce + "-" + std::to_string(++mWriteCount),
                 aFencing, mIsReleasing ? mOptions.pauseAfterRelease : mOptions.duration };
  return PlatformRequest{ ++mRequestNumber,
                          ConditionalWrite{ mOptions.key, mVersion, EncodeLease(mLastWrite) } };
}

LeaseManager::Request LeaseManager::OnRead(const PlatformReply& aReply, Time aNow)
{
  if (aReply.status != PlatformStatus::Done && aReply.status != PlatformStatus::NotFound) {
    return std::nullopt;
  }
  std::optional<Lease> lease;
  if (aReply.status == PlatformStatus::Done) {
    lease = ParseLease(aReply.body);
    if (!lease) {
      return std::nullopt; // a damaged lease is never taken over
    }
  }
  if (!mHasRead || mVersion != aReply.version) {
    mVersionObservedAt = aNow;
  }
  mHasRead = true;
  mStoredLease = std::move(lease);
  const bool isOfEra = mStoredLease && mStoredLease->fencing > FencingBeforeEra(mEra.value_or(0));
  mMayHaveLostLease = mMayHaveLostLease && !isOfEra;
  mVersion = aReply.version;
  const bool isHeld = IsLeaseValid(mStatus, aNow);
  // The reply to the latest write was lost; the nonce shows that the write took effect. After a
  // restore it proves nothing, since it may have replaced a later lease that the store lost.
  if (mStoredLease && mStoredLease->nonce == mLastWrite.nonce &&
      mStoredLease->duration > Duration::zero() && !IsWriteOfEarlierEra()) {
    SetHeld(mLastWriteTime);
    return std::nullopt;
  }
  if (isHeld && IsWriteOfEarlierEra() && !mIsReleasing) {
    if (!isOfEra) {
      return WriteLease(NextFencing(), aNow);
    }
    mStatus.expiry = aNow;
  }
  return TakeIfExpired(aNow);
}

// Takes the lease if it is free or expired; otherwise waits until it expires or changes.
LeaseManager::Request LeaseManager::TakeIfExpired(Time aNow)
{
  if (mIsReleasing) {
    mWakeUp.reset();
    return std::nullopt;
  }
  const Duration lost = mMayHaveLostLease ? mOptions.duration : Duration::zero();
  const Duration stored = mStoredLease ? mStoredLease->duration : Duration::zero();
  const Duration wait = mFaults.takesOverEarly ? stored / 2 : std::max(stored, lost);
  if (aNow >= mVersionObservedAt + wait) {
    return WriteLease(NextFencing(), aNow);
  }
  mWakeUp = std::min(*mWakeUp, mVersionObservedAt + wait);
  return std::nullopt;
}

LeaseManager::Request LeaseManager::OnWritten(const PlatformReply& aReply, Time aNow)
{
  if (aReply.status == PlatformStatus::Done ||
      (aReply.status == PlatformStatus::Unknown && mFaults.skipsReadBack)) {
    mStoredLease = mLastWrite;
    mVersion = aReply.version;
    mVersionObservedAt = aNow;
    // The store was restored meanwhile, so the write may have replaced a later lease that the store
    // lost. It proves nothing beyond what was known before.
    if (IsWriteOfEarlierEra()) {
      mLastWrite.nonce.clear();
      return IsLeaseValid(mStatus, aNow) ? WriteLease(NextFencing(), aNow) : std::nullopt;
    }
    SetHeld(mFaults.countsFromReply ? aNow : mLastWriteTime);
    return std::nullopt;
  }
  if (aReply.status == PlatformStatus::Conflict) {
    if (!IsWriteOfEarlierEra()) {
      mStatus.expiry = std::min(mStatus.expiry, aNow); // another process took the lease
    }
    return ReadLease();
  }
  if (aReply.status == PlatformStatus::Unknown) {
    return ReadLease();
  }
  return std::nullopt;
}

void LeaseManager::SetHeld(Time aWriteTime)
{
  if (mIsReleasing) {
    mWakeUp.reset();
    return;
  }
  mStatus.fencing = mLastWrite.fencing;
  mStatus.expiry = aWriteTime + mOptions.duration - mOptions.duration / kExpiryMarginDivisor;
  mWakeUp = aWriteTime + mOptions.duration / kAttemptsPerLease;
}

} // namespace masticstep::authority
