#pragma once

#include "masticstep/base/Time.hpp"

namespace masticstep::admission {

// Token bucket of one account at one daemon. It admits while its balance is positive, so a request
// larger than the daemon's share of the burst is not refused for ever; the debt is one request.
class AccountBucket
{
public:
  AccountBucket(double aTokensPerSecond, double aBurstTokens);

  bool HasRoom(Time aNow) const { return BalanceAt(aNow) > 0.0; }
  void Take(double aTokens, Time aNow);
  // Time until the balance is positive.
  Duration WaitAt(Time aNow) const;
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
