#include "masticstep/peering/PeerStateMachine.hpp"
#include "masticstep/testing/Test.hpp"
#include "masticstep/testing/VirtualNetwork.hpp"
#include "masticstep/wire/FrameCodec.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

using namespace masticstep;

namespace {

const EntryKey kDrain{ EntryKind::Drain, "draft-1" };

// Daemon whose messages are encoded and decoded as on a link.
class Daemon : public testing::VirtualNode<std::string>
{
public:
  explicit Daemon(PeerStateMachine aStateMachine)
    : mStateMachine(std::move(aStateMachine))
  {
  }

  Outgoing Encode(const PeerActions& aActions)
  {
    Outgoing outgoing;
    for (const OutgoingPeerMessage& send : aActions.sends) {
      outgoing.emplace_back(send.address, *wire::EncodeFrame(ToWire(send.message)));
    }
    return outgoing;
  }
  Outgoing OnMessage(const std::string& aFrom, const std::string& aFrame, Time aNow) override
  {
    wire::FrameDecoder decoder;
    decoder.Append(aFrame);
    const Result<std::optional<wire::Message>, wire::WireError> message = decoder.Next();
    CHECK_TRUE(message.has_value());
    const std::optional<PeerMessage> known =
      message->has_value() ? FromWire(**message) : std::nullopt;
    return known ? Encode(mStateMachine.OnMessage(aFrom, *known, aNow)) : Outgoing();
  }
  Outgoing OnTime(Time aNow) override { return Encode(mStateMachine.OnTime(aNow)); }
  std::optional<Time> NextWakeUp() const override { return mStateMachine.NextWakeUp(); }

  PeerStateMachine mStateMachine;
};

// Three data centres, dc0 to dc2, of six daemons each.
class Fleet
{
public:
  explicit Fleet(std::uint64_t aSeed)
    : mNetwork(aSeed)
  {
    for (int number = 0; number < 18; ++number) {
      Start("dc" + std::to_string(number / 6) + "-" + std::to_string(number % 6));
    }
    mNetwork.RunFor(Seconds(20));
  }

  void Start(const std::string& aName)
  {
    MembershipSettings membership;
    membership.self = { HostName(aName), aName,     DataCentreName(aName.substr(0, 3)),
                        RegionName("r"), ++mStarts, MemberState::Alive };
    membership.seeds = { "dc0-0", "dc1-0" };
    membership.randomSeed = mStarts;
    SpreadSettings spread;
    spread.self = membership.self.name;
    spread.dataCentre = membership.self.dataCentre;
    spread.firstVersion = mStarts * 1000;
    mDaemons[aName] =
      std::make_unique<Daemon>(*PeerStateMachine::Create(membership, spread, mNetwork.Now()));
    Daemon& daemon = *mDaemons[aName];
    mNetwork.Add(aName, daemon, daemon.Encode(daemon.mStateMachine.Start(mNetwork.Now())));
  }
  void Publish(const std::string& aName, const std::string& aValue)
  {
    Daemon& daemon = *mDaemons.at(aName);
    mNetwork.Send(aName,
                  daemon.Encode(daemon.mStateMachine.Publish(kDrain, aValue, mNetwork.Now())));
  }
  void PublishConfiguration(const std::string& aName, std::uint64_t aGeneration)
  {
    Daemon& daemon = *mDaemons.at(aName);
    ConfigurationBundle bundle;
    bundle.generation = aGeneration;
    mNetwork.Send(aName,
                  daemon.Encode(daemon.mStateMachine.PublishConfiguration(bundle, mNetwork.Now())));
  }
  // Counts the daemons that satisfy the condition.
  std::size_t Count(const std::function<bool(const PeerStateMachine&)>& aCondition) const
  {
    std::size_t n = 0;
    for (const std::pair<const std::string, std::unique_ptr<Daemon>>& daemon : mDaemons) {
      n += aCondition(daemon.second->mStateMachine) ? 1U : 0U;
    }
    return n;
  }
  std::size_t CountMembers(std::size_t aMembers) const
  {
    return Count([aMembers](const PeerStateMachine& aStateMachine) {
      return aStateMachine.Members().Members().size() == aMembers;
    });
  }
  std::size_t CountDrain(const std::string& aValue) const
  {
    return Count([&](const PeerStateMachine& aStateMachine) {
      const std::optional<Entry> entry =
        aStateMachine.Entries().Table().Get(kDrain, mNetwork.Now());
      return entry && entry->value == aValue;
    });
  }
  std::size_t CountGeneration(std::uint64_t aGeneration) const
  {
    return Count([aGeneration](const PeerStateMachine& aStateMachine) {
      return aStateMachine.Entries().Configuration().generation == aGeneration;
    });
  }

  testing::VirtualNetwork<std::string> mNetwork;
  std::map<std::string, std::unique_ptr<Daemon>> mDaemons;

private:
  std::uint64_t mStarts = 0;
};

bool IsInDc2(const std::string& aName)
{
  return aName.starts_with("dc2");
}

} // namespace

// Guards against membership views, entries or configurations that still differ after a partition
// of one hour, in one or both directions, whichever direction recovers first.
MASTICSTEP_TEST("data centres converge after a partition of one hour", "[peering][partition]")
{
  for (int scenario = 0; scenario < 3; ++scenario) {
    Fleet fleet(static_cast<std::uint64_t>(scenario) + 1);
    CHECK_EQUAL(18U, fleet.CountMembers(18));
    bool isOutboundBlocked = scenario != 2; // the third scenario blocks one direction only
    bool isInboundBlocked = true;
    fleet.mNetwork.mIsCut = [&](const std::string& aFrom, const std::string& aTo) {
      return (isOutboundBlocked && !IsInDc2(aFrom) && IsInDc2(aTo)) ||
             (isInboundBlocked && IsInDc2(aFrom) && !IsInDc2(aTo));
    };
    fleet.mNetwork.RunFor(Seconds(5));
    fleet.Publish("dc0-3", "near");
    fleet.Publish("dc2-3", "far");
    fleet.PublishConfiguration("dc2-1", 2);
    fleet.PublishConfiguration("dc1-1", 1);
    fleet.mNetwork.RunFor(std::chrono::hours{ 1 });
    CHECK_EQUAL(18U, fleet.CountMembers(18)); // a partition removes no member
    CHECK_TRUE(fleet.CountGeneration(1) >= 12U || scenario == 2);
    (scenario == 0 ? isOutboundBlocked : isInboundBlocked) = false;
    fleet.mNetwork.RunFor(Seconds(10));
    isOutboundBlocked = false;
    isInboundBlocked = false;
    fleet.mNetwork.RunFor(Seconds(40));
    CHECK_EQUAL(18U, fleet.CountMembers(18));
    CHECK_EQUAL(18U, std::max(fleet.CountDrain("near"), fleet.CountDrain("far")));
    CHECK_EQUAL(18U, fleet.CountGeneration(2));
  }
}

// Guards against a restarted daemon that does not receive entries or the configuration again.
MASTICSTEP_TEST("a restarted daemon gets members, entries and configuration", "[peering][restart]")
{
  Fleet fleet(4);
  fleet.Publish("dc0-3", "draining");
  fleet.PublishConfiguration("dc0-3", 7);
  fleet.mNetwork.RunFor(Seconds(5));
  fleet.mNetwork.Kill("dc2-4");
  fleet.mDaemons.erase("dc2-4");
  fleet.mNetwork.RunFor(Seconds(10));
  CHECK_EQUAL(17U, fleet.CountMembers(17));
  fleet.Start("dc2-4");
  fleet.mNetwork.RunFor(Seconds(15));
  CHECK_EQUAL(18U, fleet.CountMembers(18));
  CHECK_EQUAL(18U, fleet.CountDrain("draining"));
  CHECK_EQUAL(18U, fleet.CountGeneration(7));
}

// Guards against daemons of this version failing on messages of a newer minor version: unknown
// frame types, message kinds, entry kinds and member states.
MASTICSTEP_TEST("daemons ignore unknown messages of a newer minor version", "[peering][version]")
{
  Fleet fleet(5);
  wire::MembershipFrame unknownKind;
  unknownKind.kind = 200;
  wire::SpreadFrame unknownEntry;
  unknownEntry.kind = 1;
  unknownEntry.full = { { 99, "key", "dc0-1", 5, 0, "value" } };
  wire::MembershipFrame unknownState;
  unknownState.kind = static_cast<std::uint8_t>(MembershipMessageKind::Update);
  unknownState.records = { { "dc0-2", "dc0-2", "dc0", "r", 900, 9 } };
  const std::vector<std::string> frames = {
    *wire::EncodeFrame(unknownKind),
    *wire::EncodeFrame(unknownEntry),
    *wire::EncodeFrame(unknownState),
    wire::EncodeRawFrame({ 0, wire::kMajorVersion, wire::kMinorVersion + 1, 50, 0 }, "new"),
  };
  for (int second = 0; second < 20; ++second) {
    for (const std::string& frame : frames) {
      fleet.mNetwork.Send("dc0-1", { { "dc0-2", frame }, { "dc1-2", frame } });
    }
    fleet.mNetwork.RunFor(Seconds(1));
  }
  fleet.Publish("dc0-1", "draining");
  fleet.mNetwork.RunFor(Seconds(1));
  CHECK_EQUAL(18U, fleet.CountMembers(18));
  CHECK_EQUAL(18U, fleet.CountDrain("draining"));
  for (const std::pair<const std::string, std::unique_ptr<Daemon>>& daemon : fleet.mDaemons) {
    CHECK_EQUAL(1U, daemon.second->mStateMachine.Entries().Table().Rows().size());
  }
}

// Guards against fields lost in the conversion between messages and frames.
MASTICSTEP_TEST("messages are unchanged after conversion to frames and back", "[peering][codec]")
{
  MembershipMessage membership{ MembershipMessageKind::Update, 3, 4, "t", {} };
  membership.records = { { HostName("a"), "a:1", DataCentreName("d"), RegionName("r"), 5,
                           MemberState::Left } };
  SpreadMessage spread;
  spread.kind = SpreadMessageKind::Exchange;
  spread.generation = 9;
  spread.compact = { { 1, 2, 3, 4, "v" } };
  spread.full = { { kDrain, HostName("a"), 7, Milliseconds(8), "value" } };
  spread.versions = { { 1, 2, 3 } };
  spread.hashes = { 4 };
  const ContentMessage content{ ContentMessageKind::Chunk, 1, "m", { "x" }, "x", 2, 3, "b" };
  for (const PeerMessage& message : std::vector<PeerMessage>{ membership, spread, content }) {
    CHECK_TRUE(FromWire(ToWire(message)) == message);
  }
}
