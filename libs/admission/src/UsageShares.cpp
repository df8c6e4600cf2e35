#include "masticstep/admission/UsageShares.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::admission {

namespace {

double EvenShare(const ShareOptions& aOptions)
{
  return aOptions.evenFraction / static_cast<double>(std::max<std::size_t>(1, aOptions.daemons));
}

} // namespace

UsageShares::UsageShares(ShareOptions aOptions, HostName aDaemon)
  : mOptions(aOptions)
  , mDaemon(std::move(aDaemon))
{
}

void UsageShares::OnAdmitted(const AccountName& aAccount, double aTokens, Time aNow)
{
  const auto it = mAccounts.try_emplace(aAccount).first;
  Usage& usage = it->second;
  if (usage.share == 0.0) {
    usage.share = EvenShare(mOptions);
    usage.reported = aNow - mOptions.reportInterval;
  }
  usage.tokens += aTokens;
  usage.used = aNow;
}

void UsageShares::OnGrant(const UsageGrant& aGrant, Time)
{
  const auto it = mAccounts.find(aGrant.account);
  if (it != mAccounts.end()) {
    it->second.share = aGrant.share;
  }
}

std::vector<UsageReport> UsageShares::Reports(Time aNow)
{
  std::vector<UsageReport> reports;
  for (auto it = mAccounts.begin(); it != mAccounts.end();) {
    Usage& usage = it->second;
    if (usage.tokens > 0.0 && aNow - usage.reported >= mOptions.reportInterval) {
      // The first usage after a pause is averaged over one interval.
      const Duration span =
        std::clamp(aNow - usage.reported, mOptions.reportInterval, 2 * mOptions.reportInterval);
      reports.push_back({ it->first, mDaemon, usage.tokens / ToSeconds(span) });
      usage.tokens = 0.0;
      usage.reported = aNow;
    }
    // By this time the owner has expired the unused share, so it must not be used again.
    it = aNow - usage.used >= mOptions.expiry ? mAccounts.erase(it) : std::next(it);
  }
  return reports;
}

double UsageShares::Share(const AccountName& aAccount) const
{
  const auto it = mAccounts.find(aAccount);
  return it == mAccounts.end() ? EvenShare(mOptions) : it->second.share;
}

ShareAllocator::ShareAllocator(ShareOptions aOptions)
  : mOptions(aOptions)
{
}

UsageGrant ShareAllocator::OnReport(const UsageReport& aReport, Time aNow)
{
  Daemons& daemons = mAccounts[aReport.account];
  Expire(daemons, mOptions.expiry, aNow);
  DaemonUsage& own = daemons[aReport.daemon];
  own.tokensPerSecond = aReport.tokensPerSecond;
  own.reported = aNow;
  double used = 0.0;
  double granted = 0.0;
  for (const std::pair<const HostName, DaemonUsage>& item : daemons) {
    used += item.second.tokensPerSecond;
    granted += &item.second == &own ? 0.0 : item.second.granted;
  }
  const double usageFraction = 1.0 - mOptions.evenFraction;
  const double desired = used <= 0.0 ? 0.0 : usageFraction * own.tokensPerSecond / used;
  // A grant is limited to what the other daemons have left, so that the sum of all grants never
  // exceeds the limit. A daemon that holds too much gives it back with its next report.
  own.granted = std::clamp(desired, 0.0, std::max(0.0, usageFraction - granted));
  return { aReport.account, aReport.daemon, EvenShare(mOptions) + own.granted };
}

void ShareAllocator::Expire(Daemons& aDaemons, Duration aExpiry, Time aNow)
{
  std::erase_if(aDaemons, [aExpiry, aNow](const std::pair<const HostName, DaemonUsage>& aItem) {
    return aNow - aItem.second.reported > aExpiry;
  });
}

void ShareAllocator::OnTime(Time aNow)
{
  for (auto it = mAccounts.begin(); it != mAccounts.end();) {
    Expire(it->second, mOptions.expiry, aNow);
    it = it->second.empty() ? mAccounts.erase(it) : std::next(it);
  }
}

} // namespace masticstep::admission
