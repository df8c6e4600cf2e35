#include "masticstep/dispatch/CircuitBreaker.hpp"

#include <algorithm>
#include <cmath>

namespace masticstep::dispatch {

namespace {

constexpr std::uint32_t kFailuresToOpen = 4;
constexpr double kFailureRateSmoothing = 0.08; // weight of the latest outcome
// About as long as an engine refuses requests while it changes its stage.
constexpr Duration kFailureRateHalfLife = Seconds(2);
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

double CircuitBreaker::FailureRate(Time aNow) const
{
  const double age = std::max(0.0, ToSeconds(aNow - mLastOutcome));
  return mFailureRate * std::exp2(-age / ToSeconds(kFailureRateHalfLife));
}

void CircuitBreaker::RecordOutcome(double aFailure, Time aNow)
{
  const double rate = FailureRate(aNow);
  mFailureRate = rate + kFailureRateSmoothing * (aFailure - rate);
  mLastOutcome = std::max(mLastOutcome, aNow);
}

void CircuitBreaker::OnSuccess(Time aNow)
{
  RecordOutcome(0.0, aNow);
  mConsecutiveFailures = 0;
  mIsOpen = false;
  mTripsSinceSuccess = 0;
}

void CircuitBreaker::RecordFailures(std::uint32_t aFailures, Time aNow)
{
  RecordOutcome(1.0, aNow);
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
