#pragma once

#include "masticstep/admission/ShareOptions.hpp"
#include "masticstep/admission/UsageReport.hpp"
#include "masticstep/base/Time.hpp"

#include <unordered_map>
#include <vector>

namespace masticstep::admission {

// Tracks the shares of account limits that this daemon may use. No request waits for a grant: the
// daemon uses its last share until a new one arrives. While the daemon is partitioned from the
// owner of an account it keeps its share, and after `expiry` the owner grants that share to other
// daemons. An account is therefore limited to (1 + shares of the partitioned daemons) times its
// limit, which is less than twice the limit for one partition.
class UsageShares
{
public:
  UsageShares(ShareOptions aOptions, HostName aDaemon);

  void OnAdmitted(const AccountName& aAccount, double aTokens, Time aNow);
  void OnGrant(const UsageGrant& aGrant, Time aNow);
  // Returns the reports that are due. Must be called about once a second.
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

// Divides account limits among the daemons. Runs on the owner of an account, which rendezvous
// hashing selects.
class ShareAllocator
{
public:
  explicit ShareAllocator(ShareOptions aOptions);

  UsageGrant OnReport(const UsageReport& aReport, Time aNow);
  // Discards daemons and accounts without recent reports.
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
