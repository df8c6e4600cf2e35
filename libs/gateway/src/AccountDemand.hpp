#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/config/ClientAccount.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticstep::gateway {

// Splits the token limits of accounts among the daemons of a data centre in proportion to demand.
// Each daemon publishes the demand of the accounts that are closest to their limits. An account
// whose total demand is within its limit is not restricted; above it, each daemon gets a share of
// the limit proportional to its local demand. Performs no I/O and is not thread-safe.
class AccountDemand
{
public:
  // Counts the tokens of a request, whether or not it is admitted.
  void OnOffered(const AccountName& aAccount, double aTokens);
  // Ends the current interval. Returns the value to publish to the peers, at most 64 bytes.
  std::string EndInterval(Duration aInterval, const std::vector<ClientAccount>& aAccounts);
  // Stores the value published by a peer. It is used until the next one, for ten minutes at most,
  // so that a daemon that is partitioned from its peers keeps its last share.
  void OnPeerReport(const HostName& aHost, std::string_view aValue, Time aNow);
  // Sums the demand at this daemon and at the peers, for Share().
  void UpdateTotals(Time aNow);
  // Returns the fraction of the account's limit that this daemon may use, from 0 to 1.
  double Share(const ClientAccount& aAccount) const;

private:
  using Rates = std::unordered_map<std::uint32_t, double>; // tokens per second by hash of account
  struct Peer
  {
    Rates rates;
    Time received;
  };

  std::unordered_map<AccountName, double> mOffered; // tokens in the current interval
  Rates mLocalRates;                                // in the last interval
  std::unordered_map<HostName, Peer> mPeers;
  Rates mTotals;
};

} // namespace masticstep::gateway
