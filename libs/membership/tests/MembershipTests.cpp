#include "Cluster.hpp"
#include "masticstep/testing/Test.hpp"

#include <algorithm>

using namespace masticstep;

namespace {

std::vector<std::string> Without(std::vector<std::string> aNames, const std::string& aName)
{
  std::erase(aNames, aName);
  return aNames;
}

// Counts the Dead records that running daemons adopted.
std::size_t CountRemovals(Cluster& aCluster)
{
  std::size_t n = 0;
  for (const std::string& name : aCluster.RunningDaemons()) {
    for (const MemberRecord& change : aCluster.At(name).mChanges) {
      n += change.state == MemberState::Dead ? 1U : 0U;
    }
  }
  return n;
}

} // namespace

// Guards against daemons that don't discover each other from common seeds, and against false
// removals without faults.
MASTICSTEP_TEST("views of three data centres converge and stay stable", "[membership]")
{
  Cluster cluster(3, 8, 1);
  cluster.mNetwork.RunFor(Seconds(10));
  CHECK_TRUE(cluster.AllViewsEqual(cluster.RunningDaemons()));
  cluster.mNetwork.RunFor(Seconds(120));
  CHECK_TRUE(cluster.AllViewsEqual(cluster.RunningDaemons()));
  CHECK_EQUAL(0U, CountRemovals(cluster));
}

// Guards against a killed daemon that keeps its keys longer than the 5 s required by the design
// page.
MASTICSTEP_TEST("a killed daemon is removed by its data centre within 5 s", "[membership][failure]")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Cluster cluster(1, 24, seed);
    cluster.mNetwork.RunFor(Seconds(10) + Milliseconds(static_cast<std::int64_t>(seed) * 37));
    cluster.Kill("dc0-5");
    cluster.mNetwork.RunFor(Seconds(5));
    CHECK_TRUE(cluster.AllViewsEqual(cluster.RunningDaemons()));
  }
}

// Guards against a removal that isn't propagated to other data centres.
MASTICSTEP_TEST("other data centres learn of a killed daemon", "[membership][failure]")
{
  Cluster cluster(3, 6, 2);
  cluster.mNetwork.RunFor(Seconds(10));
  cluster.Kill("dc1-2");
  cluster.mNetwork.RunFor(Seconds(6));
  CHECK_TRUE(cluster.AllViewsEqual(cluster.RunningDaemons()));
}

// Guards against a planned leave that takes effect only after a failure detection timeout, so that
// the leaving daemon gets new work until then.
MASTICSTEP_TEST("a planned leave is known everywhere in half a second", "[membership][leave]")
{
  Cluster cluster(3, 6, 3);
  cluster.mNetwork.RunFor(Seconds(10));
  cluster.Leave("dc1-2");
  cluster.mNetwork.RunFor(Milliseconds(500));
  CHECK_TRUE(cluster.AllViewsEqual(Without(cluster.RunningDaemons(), "dc1-2")));
  cluster.mNetwork.RunFor(Seconds(60));
  CHECK_TRUE(cluster.AllViewsEqual(Without(cluster.RunningDaemons(), "dc1-2")));
}

// Guards against a record sent before the leave that arrives after it and makes the daemon a member
// again.
MASTICSTEP_TEST("an older message does not undo a leave", "[membership][leave]")
{
  Cluster cluster(1, 3, 4);
  cluster.mNetwork.RunFor(Seconds(5));
  MembershipMessage old;
  old.kind = MembershipMessageKind::Update;
  old.records = { cluster.At("dc0-2").mMembership.Self() };
  cluster.Leave("dc0-2");
  cluster.mNetwork.RunFor(Seconds(1));
  for (const MemberState state : { MemberState::Alive, MemberState::Suspect, MemberState::Dead }) {
    old.records.front().state = state;
    MembershipNode& node = cluster.At("dc0-0");
    node.RecordActions(node.mMembership.OnMessage("dc0-1", old, cluster.mNetwork.Now()));
    CHECK_TRUE(node.mMembership.Table().Find(HostName("dc0-2"))->record.state == MemberState::Left);
  }
}

// Guards against a Left record that keeps a restarted host out.
MASTICSTEP_TEST("a host that left joins again after its restart", "[membership][leave]")
{
  Cluster cluster(2, 4, 5);
  cluster.mNetwork.RunFor(Seconds(5));
  cluster.Leave("dc1-1");
  cluster.mNetwork.RunFor(Seconds(2));
  cluster.Kill("dc1-1");
  cluster.Start("dc1-1", { "dc0-0" });
  cluster.mNetwork.RunFor(Seconds(5));
  CHECK_TRUE(cluster.AllViewsEqual(cluster.RunningDaemons()));
}

// Guards against removals caused by message loss alone.
MASTICSTEP_TEST("views hold under 5 % loss and converge under 20 %", "[membership][failure][loss]")
{
  Cluster cluster(2, 12, 6);
  cluster.mNetwork.RunFor(Seconds(10));
  cluster.mNetwork.mLoss = 0.05;
  cluster.mNetwork.RunFor(Seconds(300));
  CHECK_EQUAL(0U, CountRemovals(cluster));
  cluster.mNetwork.mLoss = 0.2;
  cluster.mNetwork.RunFor(Seconds(60));
  cluster.mNetwork.mLoss = 0;
  cluster.mNetwork.RunFor(Seconds(15));
  CHECK_TRUE(cluster.AllViewsEqual(cluster.RunningDaemons()));
}

// Guards against a paused daemon that stays removed after it resumes, or that removes others
// because it missed their acks.
MASTICSTEP_TEST("a paused daemon is removed, rejoins and removes no member",
                "[membership][failure][pause]")
{
  Cluster cluster(1, 12, 7);
  cluster.mNetwork.RunFor(Seconds(10));
  cluster.mNetwork.Pause("dc0-3", Seconds(20));
  cluster.mNetwork.RunFor(Seconds(8));
  CHECK_FALSE(cluster.HasInView("dc0-4", "dc0-3"));
  cluster.mNetwork.RunFor(Seconds(20));
  CHECK_TRUE(cluster.AllViewsEqual(cluster.RunningDaemons()));
  for (const MemberRecord& change : cluster.At("dc0-3").mChanges) {
    CHECK_TRUE(change.state != MemberState::Dead);
  }
}

// Guards against removing a live daemon because one direction of one path fails; indirect probes
// must succeed.
MASTICSTEP_TEST("one-way loss between two daemons removes neither",
                "[membership][failure][one_way]")
{
  Cluster cluster(1, 12, 8);
  cluster.mNetwork.RunFor(Seconds(10));
  cluster.mNetwork.mIsCut = [](const std::string& aFrom, const std::string& aTo) {
    return aFrom == "dc0-1" && aTo == "dc0-2";
  };
  cluster.mNetwork.RunFor(Seconds(120));
  CHECK_TRUE(cluster.AllViewsEqual(cluster.RunningDaemons()));
  CHECK_EQUAL(0U, CountRemovals(cluster));
}

// Guards against a daemon that receives nothing, considers all others dead and makes them remove
// each other by its reports.
MASTICSTEP_TEST("a daemon that receives nothing causes no other removals",
                "[membership][failure][one_way]")
{
  Cluster cluster(1, 12, 9);
  cluster.mNetwork.RunFor(Seconds(10));
  cluster.mNetwork.mIsCut = [](const std::string&, const std::string& aTo) {
    return aTo == "dc0-1";
  };
  cluster.mNetwork.RunFor(Seconds(60));
  cluster.mNetwork.mIsCut = [](const std::string&, const std::string&) { return false; };
  cluster.mNetwork.RunFor(Seconds(40));
  CHECK_TRUE(cluster.AllViewsEqual(cluster.RunningDaemons()));
  for (const std::string& name : cluster.RunningDaemons()) {
    for (const MemberRecord& change : cluster.At(name).mChanges) {
      CHECK_TRUE(name == "dc0-1" || change.name == HostName("dc0-1") ||
                 change.state != MemberState::Dead);
    }
  }
}

// Guards against removing a data centre or region because of a partition, whichever direction of it
// heals first.
MASTICSTEP_TEST("a partition between data centres removes no member and heals",
                "[membership][partition]")
{
  for (int order = 0; order < 2; ++order) {
    Cluster cluster(4, 4, 10);
    cluster.mNetwork.RunFor(Seconds(10));
    bool isOutCut = true;
    bool isInCut = true;
    const auto isRegionA = [](const std::string& aName) {
      return DataCentreOf(aName) == "dc0" || DataCentreOf(aName) == "dc1";
    };
    cluster.mNetwork.mIsCut = [&](const std::string& aFrom, const std::string& aTo) {
      return (isOutCut && isRegionA(aFrom) && !isRegionA(aTo)) ||
             (isInCut && !isRegionA(aFrom) && isRegionA(aTo));
    };
    cluster.mNetwork.RunFor(std::chrono::hours{ 1 });
    CHECK_TRUE(cluster.AllViewsEqual(cluster.RunningDaemons()));
    cluster.Kill("dc0-3");
    cluster.Leave("dc3-1");
    cluster.mNetwork.RunFor(Seconds(1));
    cluster.Kill("dc3-1"); // the process exits after its leave
    cluster.mNetwork.RunFor(Seconds(10));
    CHECK_FALSE(cluster.HasInView("dc1-0", "dc0-3"));
    CHECK_FALSE(cluster.HasInView("dc2-0", "dc3-1"));
    CHECK_TRUE(cluster.HasInView("dc0-0", "dc3-1"));
    (order == 0 ? isOutCut : isInCut) = false;
    cluster.mNetwork.RunFor(Seconds(30));
    isOutCut = false;
    isInCut = false;
    cluster.mNetwork.RunFor(Seconds(30));
    CHECK_TRUE(cluster.AllViewsEqual(cluster.RunningDaemons()));
  }
}

// Guards against halves of a data centre that removed each other during a partition and stay
// separate after it heals.
MASTICSTEP_TEST("halves of a data centre rejoin after an hour", "[membership][partition]")
{
  Cluster cluster(2, 8, 11);
  cluster.mNetwork.RunFor(Seconds(10));
  const auto isLow = [](const std::string& aName) { return aName < "dc0-4"; };
  cluster.mNetwork.mIsCut = [&isLow](const std::string& aFrom, const std::string& aTo) {
    return isLow(aFrom) != isLow(aTo);
  };
  cluster.mNetwork.RunFor(std::chrono::hours{ 1 });
  CHECK_FALSE(cluster.HasInView("dc0-0", "dc0-7"));
  CHECK_TRUE(cluster.HasInView("dc0-0", "dc0-3"));
  cluster.mNetwork.mIsCut = [](const std::string&, const std::string&) { return false; };
  cluster.mNetwork.RunFor(Seconds(60));
  CHECK_TRUE(cluster.AllViewsEqual(cluster.RunningDaemons()));
}

// Guards against a daemon that stays isolated when its seeds are gone although the host list has
// other addresses, and against an outdated host list that revives dead hosts or removes live ones.
MASTICSTEP_TEST("the host list only provides addresses to try", "[membership][contacts]")
{
  Cluster cluster(1, 4, 12);
  cluster.mNetwork.RunFor(Seconds(5));
  cluster.Kill("dc0-3");
  cluster.mNetwork.RunFor(Seconds(10));
  cluster.Start("dc0-9", { "gone-1" });
  cluster.mNetwork.RunFor(Seconds(20));
  CHECK_FALSE(cluster.HasInView("dc0-9", "dc0-2"));
  MembershipNode& node = cluster.At("dc0-9");
  const std::vector<Contact> lagging = { { HostName("dc0-3"), "dc0-3" },
                                         { HostName("dc0-2"), "dc0-2" } };
  cluster.mNetwork.Send(
    "dc0-9", node.RecordActions(node.mMembership.OnContacts(lagging, cluster.mNetwork.Now())));
  cluster.mNetwork.RunFor(Seconds(30));
  CHECK_TRUE(cluster.AllViewsEqual(cluster.RunningDaemons()));
}

// Guards against settings with which a daemon would start but be unreachable.
MASTICSTEP_TEST("membership without a name or address is refused", "[membership][settings]")
{
  CHECK_FALSE(Membership::Create({}).has_value());
}
