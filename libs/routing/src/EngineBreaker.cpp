#include "EngineBreaker.hpp"

#include <algorithm>

namespace masticstep::routing {

namespace {

constexpr std::uint32_t kFailuresToOpen = 3;
constexpr std::uint32_t kSuccessesToClose = 2;
constexpr std::uint32_t kProbesAtOnce = 1;
constexpr Duration kFirstPause = Seconds(1);
constexpr Duration kLongestPause = Seconds(16);

} // namespace

EngineBreaker::Phase EngineBreaker::PhaseAt(Time aNow) const
{
  if (mIsClosed) {
    return Phase::Closed;
  }
  return aNow < mOpenUntil ? Phase::Open : Phase::HalfOpen;
}

bool EngineBreaker::Allows(Time aNow) const
{
  const Phase phase = PhaseAt(aNow);
  return phase == Phase::Closed || (phase == Phase::HalfOpen && mProbes < kProbesAtOnce);
}

std::uint32_t EngineBreaker::OnSent(Time aNow)
{
  if (PhaseAt(aNow) == Phase::HalfOpen) {
    ++mProbes;
  }
  return mGeneration;
}

void EngineBreaker::OnSuccess(std::uint32_t aGeneration, Time aNow)
{
  if (aGeneration != mGeneration) {
    return;
  }
  mFailures = 0;
  if (PhaseAt(aNow) != Phase::HalfOpen) {
    return;
  }
  mProbes = mProbes > 0 ? mProbes - 1 : 0;
  if (++mSuccesses < kSuccessesToClose) {
    return;
  }
  mIsClosed = true;
  mPause = Duration{ 0 };
  ++mGeneration;
}

void EngineBreaker::OnFailure(std::uint32_t aGeneration, Time aNow)
{
  if (aGeneration != mGeneration) {
    return;
  }
  if (PhaseAt(aNow) == Phase::HalfOpen || ++mFailures >= kFailuresToOpen) {
    Open(aNow);
  }
}

void EngineBreaker::OnAbandoned(std::uint32_t aGeneration)
{
  if (aGeneration == mGeneration && mProbes > 0) {
    --mProbes;
  }
}

void EngineBreaker::Open(Time aNow)
{
  mPause = mPause == Duration{ 0 } ? kFirstPause : std::min(kLongestPause, 2 * mPause);
  mOpenUntil = aNow + mPause;
  mIsClosed = false;
  ++mGeneration;
  mFailures = 0;
  mProbes = 0;
  mSuccesses = 0;
}

} // namespace masticstep::routing
