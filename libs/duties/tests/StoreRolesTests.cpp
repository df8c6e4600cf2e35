#include "masticstep/duties/StoreRoles.hpp"

#include "masticstep/base/Hash.hpp"
#include "masticstep/duties/StoreReach.hpp"
#include "masticstep/testing/Test.hpp"

#include <algorithm>
#include <string>

using namespace masticstep;
using namespace masticstep::duties;

namespace {

constexpr Time kStart{ Seconds(100) };

// Hosts in the order of their hashes.
std::vector<HostName> RankedHosts(std::size_t aCount)
{
  std::vector<HostName> hosts;
  for (std::size_t i = 0; i < aCount; ++i) {
    hosts.emplace_back("host-" + std::to_string(i));
  }
  std::sort(hosts.begin(), hosts.end(), [](const HostName& aLeft, const HostName& aRight) {
    return Hash64(aLeft.Text()) < Hash64(aRight.Text());
  });
  return hosts;
}

// Roles of each daemon, in the order of the host hashes, if those of aInNeed need a standby.
std::vector<StoreRoles> RolesOfAll(const std::vector<HostName>& aHosts,
                                   const std::vector<std::size_t>& aInNeed)
{
  std::vector<StoreRoles> roles;
  for (const HostName& own : aHosts) {
    std::vector<StorePeer> peers;
    for (std::size_t i = aHosts.size(); i-- > 0;) {
      const bool needsStandby = std::find(aInNeed.begin(), aInNeed.end(), i) != aInNeed.end();
      if (aHosts.at(i) != own) {
        peers.push_back({ aHosts.at(i), needsStandby });
      }
    }
    roles.push_back(AssignStoreRoles(own, std::move(peers)));
  }
  return roles;
}

std::vector<std::size_t> Pollers(const std::vector<StoreRoles>& aRoles)
{
  std::vector<std::size_t> pollers;
  for (std::size_t i = 0; i < aRoles.size(); ++i) {
    if (aRoles.at(i).isPoller) {
      pollers.push_back(i);
    }
  }
  return pollers;
}

} // namespace

// Guards against a data centre whose records nobody writes, and against a whole data centre that
// calls the store at once when it is down.
MASTICSTEP_TEST("the second watcher acts as store poller while the first cannot", "[duties][store]")
{
  struct Case
  {
    std::vector<std::size_t> inNeed;
    std::vector<std::size_t> pollers;
  };
  const std::vector<Case> cases{ { {}, { 0 } },
                                 { { 1 }, { 0 } },
                                 { { 2, 3 }, { 0 } },
                                 { { 0 }, { 0, 1 } },
                                 { { 0, 1 }, { 0, 1 } } };
  for (const std::size_t daemons : { 4U, 8U, 74U }) {
    const std::vector<HostName> hosts = RankedHosts(daemons);
    for (const Case& item : cases) {
      CHECK_TRUE(Pollers(RolesOfAll(hosts, item.inNeed)) == item.pollers);
    }
  }
  CHECK_TRUE(Pollers(RolesOfAll(RankedHosts(1), { 0 })) == std::vector<std::size_t>{ 0 });
}

// Guards against records that are sent to a daemon that does not write them.
MASTICSTEP_TEST("all daemons name the same two store watchers", "[duties][store]")
{
  const std::vector<HostName> hosts = RankedHosts(8);
  const std::vector<StoreRoles> roles = RolesOfAll(hosts, {});
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    std::vector<HostName> watchers{ hosts.at(0), hosts.at(1) };
    std::erase(watchers, hosts.at(i));
    CHECK_TRUE(roles.at(i).otherWatchers == watchers);
    CHECK_EQUAL(i < 2, roles.at(i).isWatcher);
    CHECK_TRUE(roles.at(i).hasFollowers);
  }
  // In a small data centre all are watchers of each other.
  const StoreRoles small = RolesOfAll(RankedHosts(4), {}).back();
  CHECK_TRUE(small.isWatcher);
  CHECK_FALSE(small.hasFollowers);
  CHECK_EQUAL(std::size_t{ 3 }, small.otherWatchers.size());
}

MASTICSTEP_TEST("a store that leaves calls unanswered for some time counts as lost",
                "[duties][store]")
{
  StoreReach reach;
  CHECK_FALSE(reach.IsLost(kStart));
  reach.OnSent(kStart);
  CHECK_FALSE(reach.IsLost(kStart + StoreReach::kMaximumSilence - Milliseconds(1)));
  CHECK_TRUE(reach.IsLost(kStart + StoreReach::kMaximumSilence));
  // Later calls do not hide the first one.
  reach.OnSent(kStart + Milliseconds(290));
  CHECK_TRUE(reach.IsLost(kStart + StoreReach::kMaximumSilence));
  CHECK_EQUAL(std::uint64_t{ 0 }, reach.Recoveries());
  reach.OnAnswered(kStart + Seconds(20));
  CHECK_FALSE(reach.IsLost(kStart + Seconds(20)));
  CHECK_EQUAL(std::uint64_t{ 1 }, reach.Recoveries());
  reach.OnSent(kStart + Seconds(20));
  CHECK_FALSE(reach.IsLost(kStart + Seconds(20)));
  reach.OnAnswered(kStart + Seconds(20) + Milliseconds(4));
  CHECK_EQUAL(std::uint64_t{ 1 }, reach.Recoveries());
}
