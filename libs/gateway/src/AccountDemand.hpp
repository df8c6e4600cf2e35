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

// Splits the token limits of accounts among the daemons of a data centre by demand. Each daemon
// tells its peers the demand of the accounts that come closest to their limits. An account whose
// common demand is within its limit is not restricted; above it, each daemon uses the share that
// its own demand has. Without I/O and not thread-safe.
class AccountDemand
{
public:
  // Counts the tokens of a request, whether or not it is admitted.
  void OnOffered(const AccountName& aAccount, double aTokens);
  // Ends an interval. Returns the value for the peers, at most 64 bytes.
  std::string EndInterval(Duration aInterval, const std::vector<ClientAccount>& aAccounts);
  // Takes the value of a peer. It is used until the next one, for ten minutes at most, so that a
  // daemon that is cut off keeps its last share.
  void OnPeerReport(const HostName& aHost, std::string_view aValue, Time aNow);
  // Adds the demand here and at the peers up, for Share.
  void UpdateTotals(Time aNow);
  // Returns the part of the account's limit that this daemon may use, from 0 to 1.
  double Share(const ClientAccount& aAccount) const;

private:
  using Rates = std::unordered_map<std::uint32_t, double>; // tokens per second by hash of account
  struct Peer
  {
    Rates rates;
    Time received;
  };

  std::unordered_map<AccountName, double> mOffered; // tokens of the running interval
  Rates mOwn;                                       // of the last interval
  std::unordered_map<HostName, Peer> mPeers;
  Rates mTotals;
};

} // namespace masticstep::gateway
