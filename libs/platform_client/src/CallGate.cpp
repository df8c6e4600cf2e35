#include "masticstep/platform_client/CallGate.hpp"

#include <algorithm>

namespace masticstep::platform_client {

CallGate::CallGate(GateOptions aOptions, std::uint64_t aSeed)
  : mOptions(aOptions)
  , mRandom(aSeed)
  , mTokens(aOptions.burst)
{
}

bool CallGate::Admit(Time aNow)
{
  mTokens = std::min(mOptions.burst, mTokens + ToSeconds(aNow - mFilled) * mOptions.callsPerSecond);
  mFilled = aNow;
  if (aNow < mClosedUntil || mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

void CallGate::OnAnswer()
{
  mFailures = 0;
  mClosedUntil = Time{};
}

void CallGate::OnFailure(Time aNow)
{
  ++mFailures;
  if (mFailures < mOptions.failuresBeforeBackoff) {
    return;
  }
  const std::uint32_t doublings = std::min(mFailures - mOptions.failuresBeforeBackoff, 16U);
  const Duration span =
    std::min(Duration(mOptions.firstBackoff * (1LL << doublings)), mOptions.longestBackoff);
  // Half fixed and half random, so that daemons do not return to the platform together.
  mClosedUntil = aNow + span / 2 + FromSeconds(ToSeconds(span) / 2 * mRandom.Uniform());
}

} // namespace masticstep::platform_client
