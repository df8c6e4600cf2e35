#include "AccountDemand.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>
#include <cstring>

namespace masticstep::gateway {

namespace {

// Keeps an entry near the 48 bytes that the control budget counts for it.
constexpr std::size_t kReportedAccounts = 8;
constexpr std::size_t kItemBytes = sizeof(std::uint32_t) + sizeof(float);
constexpr Duration kPeerExpiry = Seconds(600);
// Lets an account that comes to this daemon for the first time send a request at once.
constexpr double kLeastShare = 1.0 / 16.0;

std::uint32_t HashOf(const AccountName& aAccount)
{
  return static_cast<std::uint32_t>(Hash64(aAccount.Text()));
}

struct Candidate
{
  std::uint32_t hash = 0;
  double rate = 0.0;
  double use = 0.0; // rate in parts of the limit
};

} // namespace

void AccountDemand::OnOffered(const AccountName& aAccount, double aTokens)
{
  mOffered[aAccount] += aTokens;
}

std::string AccountDemand::EndInterval(Duration aInterval,
                                       const std::vector<ClientAccount>& aAccounts)
{
  mOwn.clear();
  std::vector<Candidate> candidates;
  for (const ClientAccount& account : aAccounts) {
    const auto found = mOffered.find(account.name);
    if (found == mOffered.end() || account.tokensPerSecond == 0) {
      continue;
    }
    const double rate = found->second / ToSeconds(aInterval);
    mOwn[HashOf(account.name)] = rate;
    candidates.push_back({ HashOf(account.name), rate, rate / account.tokensPerSecond });
  }
  mOffered.clear();
  const auto isHeavier = [](const Candidate& aLeft, const Candidate& aRight) {
    return aLeft.use > aRight.use;
  };
  std::sort(candidates.begin(), candidates.end(), isHeavier);
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
  const std::size_t n = std::min(aValue.size() / kItemBytes, kReportedAccounts);
  for (std::size_t i = 0; i < n; ++i) {
    std::uint32_t hash = 0;
    float rate = 0.0F;
    std::memcpy(&hash, aValue.data() + i * kItemBytes, sizeof(hash));
    std::memcpy(&rate, aValue.data() + i * kItemBytes + sizeof(hash), sizeof(rate));
    if (rate > 0.0F) {
      peer.rates[hash] = rate;
    }
  }
}

void AccountDemand::UpdateTotals(Time aNow)
{
  mTotals = mOwn;
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
  const auto own = mOwn.find(hash);
  const double ownRate = own == mOwn.end() ? 0.0 : own->second;
  return std::max(ownRate / total->second, kLeastShare);
}

} // namespace masticstep::gateway
