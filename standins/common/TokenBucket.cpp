#include "common/TokenBucket.hpp"

#include <algorithm>

namespace masticstep::standins {

namespace {

constexpr double kBurstSeconds = 0.25;

double BurstOf(double aRate)
{
  return std::max(1.0, aRate * kBurstSeconds);
}

} // namespace

TokenBucket::TokenBucket(double aRatePerSecond)
  : mRate(aRatePerSecond)
  , mTokens(BurstOf(aRatePerSecond))
{
}

void TokenBucket::SetRate(double aRatePerSecond)
{
  mRate = aRatePerSecond;
  mTokens = std::min(mTokens, BurstOf(aRatePerSecond));
}

bool TokenBucket::Take(Time aNow)
{
  if (mUpdated != Time{}) {
    mTokens = std::min(BurstOf(mRate), mTokens + mRate * ToSeconds(aNow - mUpdated));
  }
  mUpdated = aNow;
  if (mTokens < 1.0) {
    return false;
  }
  mTokens -= 1.0;
  return true;
}

Time Now()
{
  return Time{ std::chrono::duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()) };
}

} // namespace masticstep::standins
