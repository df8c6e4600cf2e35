#include "AccountDemand.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using masticstep::gateway::AccountDemand;

namespace {

ClientAccount Account(const std::string& aName, std::uint32_t aLimit)
{
  ClientAccount account;
  account.name = AccountName(aName);
  account.tokensPerSecond = aLimit;
  return account;
}

} // namespace

// Guards against each daemon granting the whole limit.
MASTICSTEP_TEST("daemons split a limit by their demand", "[gateway][limits]")
{
  const std::vector<ClientAccount> accounts = { Account("a", 1000) };
  AccountDemand first;
  AccountDemand second;
  first.OnOffered(AccountName("a"), 15000.0);
  second.OnOffered(AccountName("a"), 5000.0);
  const std::string fromFirst = first.EndInterval(Seconds(5), accounts);
  const std::string fromSecond = second.EndInterval(Seconds(5), accounts);
  first.UpdateTotals(Time());
  CHECK_EQUAL(1.0, first.Share(accounts[0]));
  first.OnPeerReport(HostName("second"), fromSecond, Time());
  second.OnPeerReport(HostName("first"), fromFirst, Time());
  first.UpdateTotals(Time());
  second.UpdateTotals(Time());
  CHECK_EQUAL(0.75, first.Share(accounts[0]));
  CHECK_EQUAL(0.25, second.Share(accounts[0]));
  // A daemon that is partitioned from its peers keeps its share.
  first.UpdateTotals(Time() + Seconds(300));
  CHECK_EQUAL(0.75, first.Share(accounts[0]));
}

// Guards against rejecting requests while the account is within its limit.
MASTICSTEP_TEST("demand within the limit is not restricted", "[gateway][limits]")
{
  const std::vector<ClientAccount> accounts = { Account("a", 1000), Account("free", 0) };
  AccountDemand first;
  AccountDemand second;
  for (AccountDemand* demand : { &first, &second }) {
    demand->OnOffered(AccountName("a"), 2500.0);
    demand->OnOffered(AccountName("free"), 1e9);
  }
  first.OnPeerReport(HostName("second"), second.EndInterval(Seconds(5), accounts), Time());
  first.EndInterval(Seconds(5), accounts);
  first.UpdateTotals(Time());
  CHECK_EQUAL(1.0, first.Share(accounts[0]));
  CHECK_EQUAL(1.0, first.Share(accounts[1]));
}

// Guards against entries that grow with the number of accounts, and against corrupt values.
MASTICSTEP_TEST("reports are bounded and corrupt ones are harmless", "[gateway][limits][bounds]")
{
  std::vector<ClientAccount> accounts;
  AccountDemand demand;
  for (int i = 0; i < 100; ++i) {
    accounts.push_back(Account("a" + std::to_string(i), 10));
    demand.OnOffered(accounts.back().name, 1000.0 + i);
  }
  CHECK_EQUAL(64U, demand.EndInterval(Seconds(5), accounts).size());
  demand.OnPeerReport(HostName("h"), std::string(13, '\xff'), Time());
  demand.UpdateTotals(Time());
  CHECK_EQUAL(1.0, demand.Share(accounts[0]));
}
