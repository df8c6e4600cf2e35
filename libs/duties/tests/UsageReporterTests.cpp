#include "masticstep/duties/UsageReporter.hpp"

#include "masticstep/base/Random.hpp"
#include "masticstep/platform/InMemoryPlatform.hpp"
#include "masticstep/testing/Test.hpp"

#include <array>
#include <map>
#include <optional>
#include <vector>

using namespace masticstep;
using namespace masticstep::duties;
using platform::PlatformStatus;

namespace {

const platform::ObjectKey kKey{ "usage/reports" };
constexpr WindowNumber kFirst = 1000;
const UsageWindows kWindows{ Seconds(5) };

UsageOptions Options()
{
  return { kKey };
}

UnixTime After(WindowNumber aWindow, double aSeconds)
{
  return kWindows.EndOf(aWindow) + FromSeconds(aSeconds);
}

// Runs the requests of a reporter against a store until there are none, and returns what it sends.
std::vector<UsageReport> Run(UsageReporter& aReporter, platform::InMemoryPlatform& aStore,
                             const UsageLedger& aLedger, UnixTime aNow,
                             SendOutcome aOutcome = SendOutcome::Accepted)
{
  std::vector<UsageReport> sent;
  while (true) {
    const UsageReporter::Actions actions = aReporter.OnTime(aLedger, aNow);
    if (actions.request) {
      aReporter.OnPlatformReply(aStore.Apply(*actions.request), aNow);
    }
    if (actions.send) {
      sent.push_back(*actions.send);
      aReporter.OnSent(actions.send->window, aOutcome, aNow);
    }
    if (!actions.request && !actions.send) {
      return sent;
    }
  }
}

UsageLedger LedgerOf(WindowNumber aWindow, std::uint32_t aCount)
{
  UsageLedger ledger;
  ledger.Merge(aWindow, "dc", { { AccountName{ "shop" }, aCount } });
  return ledger;
}

} // namespace

MASTICSTEP_TEST("a window is reported once, after all counts have arrived", "[duties][usage]")
{
  platform::InMemoryPlatform store;
  UsageReporter reporter(Options());
  reporter.BeginTerm(After(kFirst, -1.0));
  const UsageLedger ledger = LedgerOf(kFirst, 7);
  CHECK_TRUE(Run(reporter, store, ledger, After(kFirst, 3.9)).empty());
  const std::vector<UsageReport> sent = Run(reporter, store, ledger, After(kFirst, 4.0));
  CHECK_EQUAL(std::size_t{ 1 }, sent.size());
  CHECK_TRUE((sent[0] == UsageReport{ kFirst, { { AccountName{ "shop" }, 7 } } }));
  CHECK_TRUE(Run(reporter, store, ledger, After(kFirst, 4.5)).empty());
}

// Guards against two reports of a window with different counts.
MASTICSTEP_TEST("a successor sends what its predecessor wrote, whatever it counted itself",
                "[duties][usage][failure]")
{
  platform::InMemoryPlatform store;
  UsageReporter first(Options());
  first.BeginTerm(After(kFirst, -1.0));
  Run(first, store, LedgerOf(kFirst, 7), After(kFirst, 4.0), SendOutcome::Superseded);
  UsageReporter second(Options());
  second.BeginTerm(After(kFirst, 6.0));
  const std::vector<UsageReport> sent = Run(second, store, LedgerOf(kFirst, 9), After(kFirst, 6.0));
  CHECK_EQUAL(std::size_t{ 1 }, sent.size());
  CHECK_EQUAL(7U, sent[0].counts.at(AccountName{ "shop" }));
}

MASTICSTEP_TEST("a report that got no answer is sent again, unchanged", "[duties][usage][failure]")
{
  platform::InMemoryPlatform store;
  UsageReporter reporter(Options());
  reporter.BeginTerm(After(kFirst, -1.0));
  const std::vector<UsageReport> first =
    Run(reporter, store, LedgerOf(kFirst, 7), After(kFirst, 4.0), SendOutcome::Unknown);
  CHECK_TRUE(Run(reporter, store, LedgerOf(kFirst, 8), After(kFirst, 4.5)).empty());
  const std::vector<UsageReport> second =
    Run(reporter, store, LedgerOf(kFirst, 8), After(kFirst, 4.7));
  CHECK_TRUE(first == second);
}

MASTICSTEP_TEST("a store that was restored gets the sent reports again", "[duties][usage][failure]")
{
  platform::InMemoryPlatform store;
  const platform::InMemoryPlatform copy = store;
  UsageReporter reporter(Options());
  reporter.BeginTerm(After(kFirst, -1.0));
  Run(reporter, store, LedgerOf(kFirst, 7), After(kFirst, 4.0));
  store.RestoreFrom(copy);
  reporter.BeginTerm(After(kFirst, 5.0));
  Run(reporter, store, LedgerOf(kFirst, 9), After(kFirst, 5.0));
  const Result<FixedReports, std::string> reports = DecodeFixedReports(store.Find(kKey)->body);
  CHECK_EQUAL(7U, reports->byWindow.at(kFirst).at(AccountName{ "shop" }));
}

// Guards against a second, different report of a window after the store has lost the first one: the
// successor has never seen the store before it was restored, so nothing but the object tells it.
MASTICSTEP_TEST("successors report no window whose report a restored store may have lost",
                "[duties][usage][restored][failure]")
{
  for (const bool hasOlderReport : { false, true }) {
    platform::InMemoryPlatform store;
    UsageReporter first(Options());
    first.BeginTerm(After(kFirst, -6.0));
    if (hasOlderReport) {
      Run(first, store, LedgerOf(kFirst - 1, 5), After(kFirst - 1, 4.0));
    }
    const platform::InMemoryPlatform copy = store;
    CHECK_EQUAL(std::size_t{ 1 },
                Run(first, store, LedgerOf(kFirst, 7), After(kFirst, 4.0)).size());
    store.RestoreFrom(copy);
    // Two successors: the second finds an object of the new era, which still lacks the report.
    for (const double seconds : { 6.0, 7.0 }) {
      UsageReporter successor(Options());
      successor.BeginTerm(After(kFirst, seconds));
      for (const UsageReport& report :
           Run(successor, store, LedgerOf(kFirst, 4), After(kFirst, seconds))) {
        CHECK_TRUE(report.window < kFirst);
      }
    }
  }
}

MASTICSTEP_TEST("windows that end after a restore was noticed are reported by any holder",
                "[duties][usage][restored]")
{
  platform::InMemoryPlatform store;
  const platform::InMemoryPlatform copy = store;
  UsageReporter first(Options());
  first.BeginTerm(After(kFirst, -6.0));
  Run(first, store, LedgerOf(kFirst - 1, 5), After(kFirst - 1, 4.0));
  store.RestoreFrom(copy);
  UsageReporter second(Options());
  second.BeginTerm(After(kFirst, -0.5));
  Run(second, store, LedgerOf(kFirst - 1, 4), After(kFirst, -0.5));
  UsageReporter third(Options());
  third.BeginTerm(After(kFirst, 3.0));
  const std::vector<UsageReport> sent = Run(third, store, LedgerOf(kFirst, 7), After(kFirst, 4.0));
  CHECK_EQUAL(std::size_t{ 1 }, sent.size());
  CHECK_TRUE(sent[0] == (UsageReport{ kFirst, { { AccountName{ "shop" }, 7 } } }));
}

// Guards against two different reports of one window under any sequence of takeovers, restarts,
// lost answers, writes that take effect late and restores of the store from an older copy.
MASTICSTEP_TEST("all reports of a window are the same in any sequence", "[duties][usage][failure]")
{
  constexpr std::size_t kHolders = 3;
  std::size_t reports = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Random random(seed);
    platform::InMemoryPlatform store;
    platform::InMemoryPlatform copy = store;
    std::array<std::optional<UsageReporter>, kHolders> holders;
    for (std::optional<UsageReporter>& process : holders) {
      process.emplace(Options());
    }
    std::array<UsageLedger, kHolders> ledgers;
    std::vector<platform::PlatformRequest> late; // written by the store later
    std::map<WindowNumber, AccountCounts> seen;
    std::size_t holder = 0;
    UnixTime now = After(kFirst, -1.0);
    holders[0]->BeginTerm(now);
    for (int step = 0; step < 400; ++step) {
      now += Milliseconds(100);
      if (random.Chance(0.03)) {
        holder = random.Below(kHolders);
        if (random.Chance(0.5)) {
          holders[holder].emplace(Options());
        }
        holders[holder]->BeginTerm(now);
      }
      if (random.Chance(0.02)) {
        copy = store;
      }
      if (random.Chance(0.01)) {
        store.RestoreFrom(copy);
      }
      for (UsageLedger& ledger : ledgers) {
        if (random.Chance(0.5)) {
          ledger.Add(kWindows.At(now), "dc", AccountName{ "shop" });
        }
      }
      if (!late.empty() && random.Chance(0.3)) {
        store.Apply(late.back());
        late.pop_back();
      }
      const UsageReporter::Actions actions = holders[holder]->OnTime(ledgers[holder], now);
      if (actions.request) {
        platform::PlatformReply reply;
        reply.number = actions.request->number;
        if (random.Chance(0.2)) {
          late.push_back(*actions.request);
        } else {
          reply = store.Apply(*actions.request);
          reply.status = random.Chance(0.1) ? PlatformStatus::Unknown : reply.status;
        }
        holders[holder]->OnPlatformReply(reply, now);
      }
      if (actions.send) {
        ++reports;
        const auto [known, isNew] = seen.try_emplace(actions.send->window, actions.send->counts);
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                               known->second == actions.send->counts);
        holders[holder]->OnSent(actions.send->window,
                                random.Chance(0.3) ? SendOutcome::Unknown : SendOutcome::Accepted,
                                now);
      }
    }
  }
  CHECK_TRUE(reports > 1000);
}

MASTICSTEP_TEST("counts may be repeated, lost and overtaken", "[duties][usage]")
{
  UsageLedger ledger;
  const AccountName shop{ "shop" };
  ledger.Merge(kFirst, "a", { { shop, 5 } });
  ledger.Merge(kFirst, "a", { { shop, 3 } });
  ledger.Merge(kFirst, "b", { { shop, 2 } });
  ledger.Merge(kFirst, "b", { { shop, 2 } });
  ledger.Add(kFirst, "a", shop);
  CHECK_EQUAL(8U, ledger.Total(kFirst).at(shop));
  ledger.Prune(kFirst + 1);
  CHECK_TRUE(ledger.Total(kFirst).empty());
}

MASTICSTEP_TEST("a damaged object of the store is an error", "[duties][usage]")
{
  const FixedReports reports{ 2, kFirst - 1, { { kFirst, { { AccountName{ "shop" }, 7 } } } } };
  CHECK_TRUE(*DecodeFixedReports(EncodeFixedReports(reports)) == reports);
  for (const char* text :
       { "", "{}", "{\"reports\":[1]}", "{\"reports\":[{\"window\":1}]}",
         "{\"reports\":[{\"window\":1,\"counts\":{\"a\":-1}}]}",
         "{\"store_era\":-1,\"reports\":[]}", "{\"first_window\":\"a\",\"reports\":[]}" }) {
    CHECK_FALSE(DecodeFixedReports(text).has_value());
  }
}
