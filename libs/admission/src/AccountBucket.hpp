#pragma once

#include "masticstep/base/Time.hpp"

namespace masticstep::admission {

// Token bucket of one account on one daemon. It admits requests while its balance is positive, so
// that a request larger than the daemon's share of the burst can still be admitted. The debt is at
// most one request.
class AccountBucket
{
public:
  AccountBucket(double aTokensPerSecond, double aBurstTokens);

  bool HasPositiveBalance(Time aNow) const { return BalanceAt(aNow) > 0.0; }
  void Charge(double aTokens, Time aNow);
  // Returns the time until the balance is positive.
  Duration TimeUntilPositive(Time aNow) const;
  void SetShare(double aShare, Time aNow);
  void SetLimits(double aTokensPerSecond, double aBurstTokens);

private:
  double BalanceAt(Time aNow) const;

  double mTokensPerSecond;
  double mBurstTokens;
  double mShare = 1.0;
  double mBalance;
  Time mUpdated{};
};

} // namespace masticstep::admission
