#include "AccountBucket.hpp"

#include <algorithm>

namespace masticstep::admission {

AccountBucket::AccountBucket(double aTokensPerSecond, double aBurstTokens)
  : mTokensPerSecond(aTokensPerSecond)
  , mBurstTokens(aBurstTokens)
  , mBalance(aBurstTokens)
{
}

double AccountBucket::BalanceAt(Time aNow) const
{
  const double added = mTokensPerSecond * mShare * ToSeconds(aNow - mUpdated);
  return std::min(mBurstTokens * mShare, mBalance + added);
}

void AccountBucket::Charge(double aTokens, Time aNow)
{
  mBalance = std::min(mBurstTokens * mShare, BalanceAt(aNow) - aTokens);
  mUpdated = aNow;
}

Duration AccountBucket::TimeUntilPositive(Time aNow) const
{
  const double balance = BalanceAt(aNow);
  if (balance > 0.0) {
    return Duration{ 0 };
  }
  constexpr double kMaximumWaitSeconds = 3600.0;
  const double rate = std::max(1e-6, mTokensPerSecond * mShare);
  return FromSeconds(std::min(kMaximumWaitSeconds, (1.0 - balance) / rate));
}

void AccountBucket::SetShare(double aShare, Time aNow)
{
  mBalance = BalanceAt(aNow);
  mUpdated = aNow;
  mShare = std::clamp(aShare, 0.0, 1.0);
  mBalance = std::min(mBalance, mBurstTokens * mShare);
}

void AccountBucket::SetLimits(double aTokensPerSecond, double aBurstTokens)
{
  mTokensPerSecond = aTokensPerSecond;
  mBurstTokens = aBurstTokens;
}

} // namespace masticstep::admission
