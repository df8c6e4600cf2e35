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

// The holder stops a tenth early, which covers clocks whose rates differ by up to a tenth.
constexpr std::int64_t kMarginShare = 10;
// Three tries fit in a lease before it lapses.
constexpr std::int64_t kTriesInLease = 3;

} // namespace

LeaseManager::LeaseManager(LeaseOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

LeaseManager::Request LeaseManager::OnTime(Time aNow)
{
  if (mStep != Step::Waiting || !mWakeUp || aNow < *mWakeUp) {
    return std::nullopt;
  }
  // The holder renews without a read; everyone else looks first.
  if (IsMine() && IsLeaseValid(mView, aNow)) {
    return Write(mSeen->fencing, aNow);
  }
  return Read();
}

LeaseManager::Request LeaseManager::OnPlatformReply(const PlatformReply& aReply, Time aNow)
{
  if (mStep == Step::Waiting || aReply.number != mNumber) {
    return std::nullopt;
  }
  const Step step = std::exchange(mStep, Step::Waiting);
  mWakeUp = aNow + mOptions.duration / kTriesInLease;
  return step == Step::Reading ? OnRead(aReply, aNow) : OnWritten(aReply, aNow);
}

std::optional<Time> LeaseManager::NextWakeUp() const
{
  return mStep == Step::Waiting ? mWakeUp : std::nullopt;
}

LeaseManager::Request LeaseManager::Release(Time aNow)
{
  const bool held = IsMine() && IsLeaseValid(mView, aNow);
  mView.until = aNow;
  mIsReleasing = true;
  mWakeUp.reset();
  if (!held || mStep != Step::Waiting) {
    return std::nullopt;
  }
  return Write(mSeen->fencing, aNow);
}

bool LeaseManager::IsMine() const
{
  return mSeen && mSeen->nonce.starts_with(mOptions.processNonce + "-");
}

LeaseManager::Request LeaseManager::Read()
{
  mStep = Step::Reading;
  return PlatformRequest{ ++mNumber, ReadRequest{ mOptions.key } };
}

LeaseManager::Request LeaseManager::Write(std::uint64_t aFencing, Time aNow)
{
  mStep = Step::Writing;
  mWritingSince = aNow;
  mWriting = { mOptions.holder, mOptions.processNonce + "-" + std::to_string(++mWrites), aFencing,
               mIsReleasing ? Duration::zero() : mOptions.duration };
  return PlatformRequest{ ++mNumber,
                          ConditionalWrite{ mOptions.key, mVersion, EncodeLease(mWriting) } };
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
      return std::nullopt; // damaged; nobody may take it
    }
  }
  if (!mSeen || mVersion != aReply.version) {
    mSeenAt = aNow;
  }
  mSeen = std::move(lease);
  mVersion = aReply.version;
  // The answer to the latest write was lost; the nonce tells that it took effect.
  if (mSeen && mSeen->nonce == mWriting.nonce && mSeen->duration > Duration::zero()) {
    Hold(mWritingSince);
    return std::nullopt;
  }
  return Consider(aNow);
}

// Takes the lease if nobody holds it; otherwise waits until it lapses or changes.
LeaseManager::Request LeaseManager::Consider(Time aNow)
{
  if (mIsReleasing) {
    mWakeUp.reset();
    return std::nullopt;
  }
  if (!mSeen) {
    return Write(1, aNow);
  }
  const Duration wait = mFaults.takesOverEarly ? mSeen->duration / 2 : mSeen->duration;
  if (aNow >= mSeenAt + wait) {
    return Write(mSeen->fencing + 1, aNow);
  }
  mWakeUp = std::min(*mWakeUp, mSeenAt + wait);
  return std::nullopt;
}

LeaseManager::Request LeaseManager::OnWritten(const PlatformReply& aReply, Time aNow)
{
  if (aReply.status == PlatformStatus::Done ||
      (aReply.status == PlatformStatus::Unknown && mFaults.noReadBack)) {
    mSeen = mWriting;
    mVersion = aReply.version;
    mSeenAt = aNow;
    Hold(mFaults.countsFromAnswer ? aNow : mWritingSince);
    return std::nullopt;
  }
  if (aReply.status == PlatformStatus::Conflict) {
    mView.until = std::min(mView.until, aNow); // somebody else took over
    return Read();
  }
  if (aReply.status == PlatformStatus::Unknown) {
    return Read();
  }
  return std::nullopt;
}

void LeaseManager::Hold(Time aSince)
{
  if (mIsReleasing) {
    mWakeUp.reset();
    return;
  }
  mView.fencing = mWriting.fencing;
  mView.until = aSince + mOptions.duration - mOptions.duration / kMarginShare;
  mWakeUp = aSince + mOptions.duration / kTriesInLease;
}

} // namespace masticstep::authority
