#include "CircuitBreaker.hpp"

#include <algorithm>

namespace masticstep::routing {

namespace {

constexpr std::uint32_t kFailuresToOpen = 3;
constexpr std::uint32_t kSuccessesToClose = 2;
constexpr std::uint32_t kMaximumConcurrentProbes = 1;
constexpr Duration kInitialOpenDuration = Seconds(1);
constexpr Duration kMaximumOpenDuration = Seconds(16);

} // namespace

CircuitBreaker::State CircuitBreaker::StateAt(Time aNow) const
{
  if (mIsClosed) {
    return State::Closed;
  }
  return aNow < mOpenUntil ? State::Open : State::HalfOpen;
}

bool CircuitBreaker::Allows(Time aNow) const
{
  const State state = StateAt(aNow);
  return state == State::Closed || (state == State::HalfOpen && mProbes < kMaximumConcurrentProbes);
}

std::uint32_t CircuitBreaker::OnSent(Time aNow)
{
  if (StateAt(aNow) == State::HalfOpen) {
    ++mProbes;
  }
  return mGeneration;
}

void CircuitBreaker::OnSuccess(std::uint32_t aGeneration, Time aNow)
{
  if (aGeneration != mGeneration) {
    return;
  }
  mFailures = 0;
  if (StateAt(aNow) != State::HalfOpen) {
    return;
  }
  mProbes = mProbes > 0 ? mProbes - 1 : 0;
  if (++mSuccesses < kSuccessesToClose) {
    return;
  }
  mIsClosed = true;
  mOpenDuration = Duration{ 0 };
  ++mGeneration;
}

void CircuitBreaker::OnFailure(std::uint32_t aGeneration, Time aNow)
{
  if (aGeneration != mGeneration) {
    return;
  }
  if (StateAt(aNow) == State::HalfOpen || ++mFailures >= kFailuresToOpen) {
    Open(aNow);
  }
}

void CircuitBreaker::OnAbandoned(std::uint32_t aGeneration)
{
  if (aGeneration == mGeneration && mProbes > 0) {
    --mProbes;
  }
}

void CircuitBreaker::Open(Time aNow)
{
  mOpenDuration = mOpenDuration == Duration{ 0 }
                    ? kInitialOpenDuration
                    : std::min(kMaximumOpenDuration, 2 * mOpenDuration);
  mOpenUntil = aNow + mOpenDuration;
  mIsClosed = false;
  ++mGeneration;
  mFailures = 0;
  mProbes = 0;
  mSuccesses = 0;
}

} // namespace masticstep::routing
