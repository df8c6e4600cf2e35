#include "masticstep/dispatch/Breaker.hpp"

#include <algorithm>

namespace masticstep::dispatch {

namespace {

constexpr std::uint32_t kFailuresToOpen = 3;
// A backend server that fails part of its requests is left alone from this share on.
constexpr double kShareToOpen = 0.3;
constexpr double kShareStep = 0.12; // weight of the newest outcome
constexpr Duration kFirstPause = Milliseconds(400);
constexpr std::uint32_t kMaximumDoublings = 3;

} // namespace

void Breaker::OnSuccess()
{
  mFailureShare -= kShareStep * mFailureShare;
  mFailuresInRow = 0;
  if (mIsOpen) {
    mIsOpen = false;
    mTrips = 0;
    // A few failures after the probe open it again.
    mFailureShare = std::min(mFailureShare, kShareToOpen / 2);
  }
}

void Breaker::OnFailure(Time aNow)
{
  mFailureShare += kShareStep * (1.0 - mFailureShare);
  ++mFailuresInRow;
  if (!mIsOpen && mFailuresInRow < kFailuresToOpen && mFailureShare < kShareToOpen) {
    return;
  }
  mIsOpen = true;
  mProbeAt = aNow + kFirstPause * (1LL << std::min(mTrips, kMaximumDoublings));
  ++mTrips;
}

bool Breaker::Allows(Time aNow) const
{
  return !mIsOpen || aNow >= mProbeAt;
}

void Breaker::OnSent(Time aNow)
{
  if (mIsOpen) {
    mProbeAt = aNow + kFirstPause * (1LL << std::min(mTrips, kMaximumDoublings));
  }
}

} // namespace masticstep::dispatch
