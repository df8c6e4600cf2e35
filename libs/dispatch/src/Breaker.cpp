#include "masticstep/dispatch/Breaker.hpp"

#include <algorithm>

namespace masticstep::dispatch {

namespace {

constexpr std::uint32_t kFailuresToOpen = 4;
constexpr double kShareStep = 0.08; // weight of the newest outcome
constexpr Duration kFirstPause = Milliseconds(400);
constexpr std::uint32_t kMaximumDoublings = 2;

} // namespace

Duration Breaker::Pause() const
{
  return kFirstPause * (1LL << std::min(mTrips, kMaximumDoublings));
}

void Breaker::Open(Time aNow)
{
  mIsOpen = true;
  mProbeAt = aNow + Pause();
  ++mTrips;
}

void Breaker::OnSuccess()
{
  mFailureShare -= kShareStep * mFailureShare;
  mFailuresInRow = 0;
  mIsOpen = false;
  mTrips = 0;
}

void Breaker::Count(std::uint32_t aFailures, Time aNow)
{
  mFailureShare += kShareStep * (1.0 - mFailureShare);
  mFailuresInRow += aFailures;
  if (mIsOpen || mFailuresInRow >= kFailuresToOpen) {
    Open(aNow);
  }
}

void Breaker::OnFailure(Time aNow)
{
  Count(1, aNow);
}

void Breaker::OnRefusal(Time aNow)
{
  Count(kFailuresToOpen / 2, aNow);
}

void Breaker::OnUnreachable(Time aNow)
{
  Count(kFailuresToOpen, aNow);
}

bool Breaker::Allows(Time aNow) const
{
  return !mIsOpen || aNow >= mProbeAt;
}

void Breaker::OnSent(Time aNow)
{
  if (mIsOpen) {
    mProbeAt = aNow + Pause();
  }
}

} // namespace masticstep::dispatch
