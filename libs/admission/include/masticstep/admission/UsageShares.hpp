#pragma once

#include "masticstep/admission/ShareOptions.hpp"
#include "masticstep/admission/UsageReport.hpp"
#include "masticstep/base/Time.hpp"

#include <unordered_map>
#include <vector>

namespace masticstep::admission {

// A daemon's side of the split of account limits. No request waits for it: a daemon uses its last
// share until a new one arrives. While it is cut off it keeps that share, and its owner gives it to
// the others after `expiry`. So an account is admitted at most its limit times one plus the shares
// that the cut daemons hold, which is below twice its limit for one cut.
class UsageShares
{
public:
  UsageShares(ShareOptions aOptions, HostName aDaemon);

  void OnAdmitted(const AccountName& aAccount, double aTokens, Time aNow);
  void OnGrant(const UsageGrant& aGrant, Time aNow);
  // Reports that are due. To be called about once a second.
  std::vector<UsageReport> Reports(Time aNow);
  double Share(const AccountName& aAccount) const;
  std::size_t Accounts() const { return mAccounts.size(); }

private:
  struct Usage
  {
    double tokens = 0.0;
    double share = 0.0;
    Time reported;
    Time used;
  };

  ShareOptions mOptions;
  HostName mDaemon;
  std::unordered_map<AccountName, Usage> mAccounts;
};

// The owner's side, for the accounts that rendezvous hashing gives to this daemon.
class ShareAllocator
{
public:
  explicit ShareAllocator(ShareOptions aOptions);

  UsageGrant OnReport(const UsageReport& aReport, Time aNow);
  // Forgets daemons and accounts without reports.
  void OnTime(Time aNow);
  std::size_t Accounts() const { return mAccounts.size(); }

private:
  struct DaemonUsage
  {
    double tokensPerSecond = 0.0;
    double granted = 0.0;
    Time reported;
  };
  using Daemons = std::unordered_map<HostName, DaemonUsage>;

  static void Expire(Daemons& aDaemons, Duration aExpiry, Time aNow);

  ShareOptions mOptions;
  std::unordered_map<AccountName, Daemons> mAccounts;
};

} // namespace masticstep::admission
