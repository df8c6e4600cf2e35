#include "AccountDemand.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>
#include <cstring>

namespace masticstep::gateway {

namespace {

// Keeps an entry near the 48 bytes that the budget for control traffic assumes.
constexpr std::size_t kReportedAccounts = 8;
constexpr std::size_t kRecordBytes = sizeof(std::uint32_t) + sizeof(float);
constexpr Duration kPeerExpiry = Seconds(600);
// Lets an account that is new at this daemon send a request immediately.
constexpr double kMinimumShare = 1.0 / 16.0;

std::uint32_t HashOf(const AccountName& aAccount)
{
  return static_cast<std::uint32_t>(Hash64(aAccount.Text()));
}

struct Candidate
{
  std::uint32_t hash = 0;
  double rate = 0.0;
  double utilization = 0.0; // rate divided by the limit
};

} // namespace

void AccountDemand::OnOffered(const AccountName& aAccount, double aTokens)
{
  mOffered[aAccount] += aTokens;
}

std::string AccountDemand::EndInterval(Duration aInterval,
                                       const std::vector<ClientAccount>& aAccounts)
{
  mLocalRates.clear();
  std::vector<Candidate> candidates;
  for (const ClientAccount& account : aAccounts) {
    const auto found = mOffered.find(account.name);
    if (found == mOffered.end() || account.tokensPerSecond == 0) {
      continue;
    }
    const double rate = found->second / ToSeconds(aInterval);
    mLocalRates[HashOf(account.name)] = rate;
    candidates.push_back({ HashOf(account.name), rate, rate / account.tokensPerSecond });
  }
  mOffered.clear();
  const auto hasHigherUtilization = [](const Candidate& aLeft, const Candidate& aRight) {
    return aLeft.utilization > aRight.utilization;
  };
  std::sort(candidates.begin(), candidates.end(), hasHigherUtilization);
  candidates.resize(std::min(candidates.size(), kReportedAccounts));
  std::string value;
  for (const Candidate& candidate : candidates) {
    const float rate = static_cast<float>(candidate.rate);
    value.append(reinterpret_cast<const char*>(&candidate.hash), sizeof(candidate.hash));
    value.append(reinterpret_cast<const char*>(&rate), sizeof(rate));
  }
  return value;
}

void AccountDemand::OnPeerReport(const HostName& aHost, std::string_view aValue, Time aNow)
{
  Peer& peer = mPeers[aHost];
  peer.rates.clear();
  peer.received = aNow;
  const std::size_t n = std::min(aValue.size() / kRecordBytes, kReportedAccounts);
  for (std::size_t i = 0; i < n; ++i) {
    std::uint32_t hash = 0;
    float rate = 0.0F;
    std::memcpy(&hash, aValue.data() + i * kRecordBytes, sizeof(hash));
    std::memcpy(&rate, aValue.data() + i * kRecordBytes + sizeof(hash), sizeof(rate));
    if (rate > 0.0F) {
      peer.rates[hash] = rate;
    }
  }
}

void AccountDemand::UpdateTotals(Time aNow)
{
  mTotals = mLocalRates;
  for (const auto& [host, peer] : mPeers) {
    if (aNow - peer.received >= kPeerExpiry) {
      continue;
    }
    for (const auto& [hash, rate] : peer.rates) {
      mTotals[hash] += rate;
    }
  }
}

double AccountDemand::Share(const ClientAccount& aAccount) const
{
  const std::uint32_t hash = HashOf(aAccount.name);
  const auto total = mTotals.find(hash);
  if (total == mTotals.end() || total->second <= aAccount.tokensPerSecond) {
    return 1.0;
  }
  const auto own = mLocalRates.find(hash);
  const double localRate = own == mLocalRates.end() ? 0.0 : own->second;
  return std::max(localRate / total->second, kMinimumShare);
}

} // namespace masticstep::gateway
