#include "masticstep/platform_client/CallLimiter.hpp"

#include <algorithm>

namespace masticstep::platform_client {

CallLimiter::CallLimiter(CallLimiterOptions aOptions, std::uint64_t aSeed)
  : mOptions(aOptions)
  , mRandom(aSeed)
  , mTokens(aOptions.burst)
{
}

bool CallLimiter::TryAcquire(Time aNow)
{
  mTokens =
    std::min(mOptions.burst, mTokens + ToSeconds(aNow - mLastRefill) * mOptions.callsPerSecond);
  mLastRefill = aNow;
  if (aNow < mBlockedUntil || mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

void CallLimiter::OnResponse()
{
  mFailures = 0;
  mBlockedUntil = Time{};
}

void CallLimiter::OnFailure(Time aNow)
{
  ++mFailures;
  if (mFailures < mOptions.backoffThreshold) {
    return;
  }
  const std::uint32_t doublings = std::min(mFailures - mOptions.backoffThreshold, 16U);
  const Duration backoff =
    std::min(Duration(mOptions.initialBackoff * (1LL << doublings)), mOptions.maximumBackoff);
  // Half fixed and half random, so that daemons do not all retry at the same time.
  mBlockedUntil = aNow + backoff / 2 + FromSeconds(ToSeconds(backoff) / 2 * mRandom.Uniform());
}

} // namespace masticstep::platform_client
