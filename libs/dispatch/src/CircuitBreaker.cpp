#include "masticstep/dispatch/CircuitBreaker.hpp"

#include <algorithm>

namespace masticstep::dispatch {

namespace {

constexpr std::uint32_t kFailuresToOpen = 4;
constexpr double kFailureRateSmoothing = 0.08; // weight of the latest outcome
constexpr Duration kInitialOpenDuration = Milliseconds(400);
constexpr std::uint32_t kMaximumDoublings = 2;

} // namespace

Duration CircuitBreaker::OpenDuration() const
{
  return kInitialOpenDuration * (1LL << std::min(mTripsSinceSuccess, kMaximumDoublings));
}

void CircuitBreaker::Open(Time aNow)
{
  mIsOpen = true;
  mProbeAt = aNow + OpenDuration();
  ++mTripsSinceSuccess;
}

void CircuitBreaker::OnSuccess()
{
  mFailureRate -= kFailureRateSmoothing * mFailureRate;
  mConsecutiveFailures = 0;
  mIsOpen = false;
  mTripsSinceSuccess = 0;
}

void CircuitBreaker::RecordFailures(std::uint32_t aFailures, Time aNow)
{
  mFailureRate += kFailureRateSmoothing * (1.0 - mFailureRate);
  mConsecutiveFailures += aFailures;
  if (mIsOpen || mConsecutiveFailures >= kFailuresToOpen) {
    Open(aNow);
  }
}

void CircuitBreaker::OnFailure(Time aNow)
{
  RecordFailures(1, aNow);
}

void CircuitBreaker::OnRefusal(Time aNow)
{
  RecordFailures(kFailuresToOpen / 2, aNow);
}

void CircuitBreaker::OnUnreachable(Time aNow)
{
  RecordFailures(kFailuresToOpen, aNow);
}

bool CircuitBreaker::AllowsRequest(Time aNow) const
{
  return !mIsOpen || aNow >= mProbeAt;
}

void CircuitBreaker::OnSent(Time aNow)
{
  if (mIsOpen) {
    mProbeAt = aNow + OpenDuration();
  }
}

} // namespace masticstep::dispatch
