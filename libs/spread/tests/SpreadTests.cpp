#include "SpreadCluster.hpp"
#include "masticstep/spread/EngineLoadValue.hpp"
#include "masticstep/spread/Ownership.hpp"
#include "masticstep/testing/Test.hpp"

#include <algorithm>

using namespace masticstep;

namespace {

const EntryKey kLoad{ EntryKind::EngineLoad, "draft-1" };
const EntryKey kDrain{ EntryKind::Drain, "draft-1" };
const EntryKey kSummary{ EntryKind::ServiceSummary, "drafting/dc0" };

} // namespace

// Guards against entries that reach only a part of a data centre or leave their scope.
MASTICSTEP_TEST("load stays in its data centre and summaries go everywhere", "[spread]")
{
  SpreadCluster cluster(3, 12, 1);
  cluster.mNetwork.RunFor(Seconds(5));
  cluster.Publish("dc0-3", kLoad, "load");
  cluster.Publish("dc0-4", kSummary, "summary");
  cluster.mNetwork.RunFor(Seconds(4));
  CHECK_EQUAL(12U, cluster.CountHolders(kLoad, "load"));
  CHECK_EQUAL("load", cluster.ValueAt("dc0-11", kLoad));
  CHECK_EQUAL(36U, cluster.CountHolders(kSummary, "summary"));
}

// Guards against an urgent entry that waits for the next delta at each hop.
MASTICSTEP_TEST("a drain is known everywhere in 300 ms", "[spread][drain]")
{
  SpreadCluster cluster(3, 24, 2);
  cluster.mNetwork.RunFor(Seconds(5));
  cluster.Publish("dc1-7", kDrain, "draining");
  cluster.mNetwork.RunFor(Milliseconds(300));
  CHECK_EQUAL(72U, cluster.CountHolders(kDrain, "draining"));
  cluster.Publish("dc2-7", kDrain, "");
  cluster.mNetwork.RunFor(Milliseconds(300));
  CHECK_EQUAL(72U, cluster.CountHolders(kDrain, ""));
}

// Guards against an old value that looks fresh because its age was lost in transit.
MASTICSTEP_TEST("age travels with an entry and decides when it is stale", "[spread][age]")
{
  SpreadCluster cluster(1, 6, 3);
  cluster.Publish("dc0-0", kLoad, "load");
  cluster.mNetwork.RunFor(Seconds(6));
  cluster.Restart("dc0-5");
  cluster.mNetwork.RunFor(Seconds(3));
  const std::optional<Entry> entry =
    cluster.At("dc0-5").mSpread.Table().Get(kLoad, cluster.mNetwork.Now());
  CHECK_TRUE(entry.has_value());
  CHECK_TRUE(entry->age > Milliseconds(8900) && entry->age <= Seconds(9));
  CHECK_TRUE(entry->IsStale());
}

// Guards against a restarted daemon whose first publication has a lower version than that of its
// previous process.
MASTICSTEP_TEST("a restarted daemon replaces its earlier entries at once", "[spread][restart]")
{
  SpreadCluster cluster(1, 6, 4);
  cluster.Publish("dc0-0", kDrain, "");
  cluster.mNetwork.RunFor(Seconds(2));
  cluster.Restart("dc0-0");
  cluster.Publish("dc0-0", kDrain, "draining");
  cluster.mNetwork.RunFor(Seconds(3));
  CHECK_EQUAL(6U, cluster.CountHolders(kDrain, "draining"));
}

// Guards against an entry that stays missing after a partition, since non-periodic entries are not
// repeated in deltas.
MASTICSTEP_TEST("non-periodic entries converge by digest after a partition", "[spread][partition]")
{
  SpreadCluster cluster(2, 8, 5);
  cluster.mNetwork.RunFor(Seconds(5));
  cluster.mNetwork.mIsCut = [](const std::string& aFrom, const std::string& aTo) {
    return aFrom.substr(0, 3) != aTo.substr(0, 3) || aTo == "dc1-3" || aFrom == "dc1-3";
  };
  cluster.Publish("dc0-1", kDrain, "draining");
  cluster.Publish("dc1-1", { EntryKind::Drain, "draft-2" }, "draining");
  cluster.mNetwork.RunFor(std::chrono::hours{ 1 });
  CHECK_EQUAL(8U, cluster.CountHolders(kDrain, "draining"));
  cluster.mNetwork.mIsCut = [](const std::string&, const std::string&) { return false; };
  cluster.mNetwork.RunFor(Seconds(30));
  CHECK_EQUAL(16U, cluster.CountHolders(kDrain, "draining"));
  CHECK_EQUAL(16U, cluster.CountHolders({ EntryKind::Drain, "draft-2" }, "draining"));
}

// Guards against pruned links that aren't grafted when daemons on the remaining path die and the
// views don't change yet.
MASTICSTEP_TEST("periodic entries take another path when daemons on the current one die",
                "[spread][failure][prune]")
{
  SpreadCluster cluster(1, 24, 6);
  const auto publishFor = [&cluster](int aSeconds) {
    for (int i = 0; i < aSeconds; ++i) {
      cluster.Publish("dc0-0", kLoad, std::to_string(i));
      cluster.mNetwork.RunFor(Seconds(1));
    }
  };
  publishFor(20);
  for (const char* name : { "dc0-3", "dc0-9", "dc0-17" }) {
    cluster.mNetwork.Kill(name); // still present in the views
  }
  publishFor(15);
  std::size_t fresh = 0;
  for (const std::string& name : cluster.Names()) {
    const std::optional<Entry> entry =
      cluster.At(name).mSpread.Table().Get(kLoad, cluster.mNetwork.Now());
    fresh += entry && !entry->IsStale() ? 1U : 0U;
  }
  CHECK_EQUAL(21U, fresh);
}

// Guards against a key that no other daemon can continue: after a failure of the owner, the standby
// publishes under the same key.
MASTICSTEP_TEST("another daemon can continue to publish a key", "[spread][owner]")
{
  SpreadCluster cluster(1, 8, 7);
  cluster.mNetwork.RunFor(Seconds(3));
  cluster.Publish("dc0-0", kLoad, "first");
  cluster.mNetwork.RunFor(Seconds(3));
  cluster.Publish("dc0-1", kLoad, "second");
  cluster.mNetwork.RunFor(Seconds(3));
  CHECK_EQUAL(8U, cluster.CountHolders(kLoad, "second"));
}

// Guards against keys with no owner or several owners, and against reassigning more keys than those
// of a removed member.
MASTICSTEP_TEST("each key has one owner and one standby, and few keys move", "[spread][owner]")
{
  std::vector<MemberRecord> members(10);
  for (std::size_t i = 0; i < members.size(); ++i) {
    members[i].name = HostName("host-" + std::to_string(i));
  }
  std::vector<MemberRecord> fewer(members.begin(), members.end() - 1);
  for (int key = 0; key < 100; ++key) {
    const std::string name = "engine-" + std::to_string(key);
    int owners = 0;
    int standbys = 0;
    for (const MemberRecord& member : members) {
      const OwnerRole role = RoleFor(members, name, member.name);
      owners += role == OwnerRole::Owner ? 1 : 0;
      standbys += role == OwnerRole::Standby ? 1 : 0;
      const bool wasOwner = role == OwnerRole::Owner && member.name != members.back().name;
      CHECK_TRUE(!wasOwner || RoleFor(fewer, name, member.name) == OwnerRole::Owner);
    }
    CHECK_EQUAL(1, owners);
    CHECK_EQUAL(1, standbys);
  }
}

// Guards against a version that is replaced by an older one or by a replayed message, and against a
// tie that daemons resolve differently.
MASTICSTEP_TEST("no version goes back under faults", "[spread][property]")
{
  testing::CheckProperty("versions grow", [](std::uint64_t aSeed) {
    Random random(aSeed);
    SpreadCluster cluster(2, 5, aSeed);
    cluster.mNetwork.mDelay = [&random](const std::string&, const std::string&,
                                        const SpreadPayload&) {
      return Milliseconds(static_cast<std::int64_t>(1 + random.Below(800)));
    };
    cluster.mNetwork.mLoss = 0.2;
    const std::vector<std::string> names = cluster.Names();
    for (int i = 0; i < 20; ++i) {
      const std::string& name = names[random.Below(names.size())];
      cluster.Publish(name, random.Chance(0.5) ? kDrain : kSummary, std::to_string(i));
      if (random.Chance(0.1)) {
        cluster.Restart(names[random.Below(names.size())]);
      }
      cluster.mNetwork.RunFor(Milliseconds(static_cast<std::int64_t>(random.Below(1500))));
    }
    cluster.mNetwork.mLoss = 0;
    cluster.mNetwork.RunFor(Seconds(40));
    const std::string last = cluster.ValueAt(names.front(), kDrain);
    RC_ASSERT(cluster.CountHolders(kDrain, last) == names.size());
    for (const std::string& name : names) {
      std::map<EntryKey, std::pair<std::uint64_t, HostName>> seen;
      for (const Entry& change : cluster.At(name).mChanges) {
        const std::pair<std::uint64_t, HostName> rank(change.version, change.owner);
        RC_ASSERT(seen[change.key] < rank);
        seen[change.key] = rank;
      }
    }
  });
}

// Guards against traffic for unchanged values: loads polled twice a second, and urgent entries that
// are only republished.
MASTICSTEP_TEST("unchanged values cause no extra frames", "[spread]")
{
  SpreadCluster cluster(1, 2, 9);
  cluster.mNetwork.RunFor(Seconds(2));
  const std::string load = Encode({ 1, 0, 30, 0, 1000, 2000, 0, 0 });
  const EntryKey health{ EntryKind::Health, "draft-1" };
  cluster.Publish("dc0-0", kLoad, load);
  cluster.Publish("dc0-0", health, "good");
  cluster.mNetwork.RunFor(Seconds(1));
  std::size_t sent = 0;
  cluster.mNetwork.mOnSend = [&sent](const std::string&, const std::string&, const SpreadPayload&) {
    ++sent;
  };
  cluster.Publish("dc0-0", kLoad, load);
  cluster.Publish("dc0-0", health, "good");
  CHECK_EQUAL(0U, sent);
  CHECK_TRUE(cluster.At("dc0-0").mSpread.Table().Get(kLoad, cluster.mNetwork.Now())->age >=
             Seconds(1));
  cluster.Publish("dc0-0", health, "bad");
  CHECK_EQUAL(1U, sent);
}

// Guards against reconstructing a wrong version from its low half, which could decrease it.
MASTICSTEP_TEST("versions are restored from their low half", "[spread][codec][property]")
{
  testing::CheckProperty("restored", [](std::uint64_t aKnown, std::int32_t aDistance) {
    const std::uint64_t version =
      aKnown + static_cast<std::uint64_t>(static_cast<std::int64_t>(aDistance));
    RC_ASSERT(RestoreVersion(aKnown, static_cast<std::uint32_t>(version)) == version);
  });
  const std::uint64_t owner = OwnerHash(HostName("a"));
  CHECK_TRUE(OwnerTag(owner, 1) != OwnerTag(owner, 1 + (1ULL << 32U)));
  CHECK_TRUE(OwnerTag(owner, 1) != OwnerTag(OwnerHash(HostName("b")), 1));
}

// Guards against an update that is lost because its version is outside the compact range.
MASTICSTEP_TEST("a version outside the compact range is delivered", "[spread][restart]")
{
  SpreadCluster cluster(1, 6, 8);
  cluster.mNetwork.RunFor(Seconds(2));
  cluster.Publish("dc0-0", kLoad, "first");
  cluster.mNetwork.RunFor(Seconds(3));
  SpreadMessage jump;
  jump.full = { { kLoad, HostName("dc0-0"), 1ULL << 41U, {}, "second" } };
  cluster.mNetwork.Send("dc0-0", { { "dc0-1", jump } });
  cluster.mNetwork.RunFor(Seconds(3));
  CHECK_TRUE(cluster.CountHolders(kLoad, "second") >= 5U); // the sender need not have it
  cluster.Publish("dc0-2", kLoad, "third");
  cluster.mNetwork.RunFor(Seconds(3));
  CHECK_EQUAL(6U, cluster.CountHolders(kLoad, "third"));
}

// Guards against an encoder and a decoder that disagree.
MASTICSTEP_TEST("engine load survives its encoding", "[spread][codec]")
{
  const EngineLoadValue value{ 70000, 80000, 3, 4, 1999, 2000, 2, 1 };
  const EngineLoadValue largest{ 0xffffffff, 0xffffffff, 0xffff, 0xffff, 0xffff, 0xffff, 255, 255 };
  CHECK_TRUE(DecodeEngineLoad(Encode(value)) == value);
  CHECK_TRUE(DecodeEngineLoad(Encode(largest)) == largest);
  CHECK_FALSE(DecodeEngineLoad("short").has_value());
  CHECK_FALSE(DecodeEngineLoad(Encode(value) + "x").has_value());
  CHECK_FALSE(DecodeEngineLoad(std::string(20, '\xff')).has_value());
}

// Guards against a published load that becomes a missing entry, and against large changes that are
// published late.
MASTICSTEP_TEST("large changes of load are published at once and others within 2 s", "[spread]")
{
  const EngineLoadValue value{ 1, 0, 30, 0, 1000, 2000, 0, 0 };
  EngineLoadValue next = value;
  next.kvBlocksUsed = 1249;
  CHECK_FALSE(ShouldPublishLoad(value, next, Seconds(1)));
  CHECK_TRUE(ShouldPublishLoad(value, next, kLoadRefreshInterval));
  next.kvBlocksUsed = 750;
  CHECK_TRUE(ShouldPublishLoad(value, next, Seconds(1)));
  next = value;
  next.waiting = 1;
  CHECK_TRUE(ShouldPublishLoad(value, next, Seconds(1)));
  next = value;
  next.state = 1;
  CHECK_TRUE(ShouldPublishLoad(value, next, Seconds(1)));
}
