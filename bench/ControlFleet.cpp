#include "ControlFleet.hpp"

#include "masticstep/spread/EngineLoadValue.hpp"
#include "masticstep/spread/Ownership.hpp"
#include "masticstep/wire/FrameCodec.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::bench {

namespace {

constexpr int kServices = 6;
constexpr std::size_t kUsageBytes = 8 * 6;         // eight accounts above their threshold
constexpr std::size_t kUsageSummaryBytes = 64 * 6; // heaviest accounts of a data centre
constexpr std::size_t kSummaryBytes = 32;
constexpr std::uint64_t kUsageSeconds = 5;
constexpr std::uint64_t kSummarySeconds = 5;
constexpr std::uint64_t kWorkSeconds = 10;
constexpr int kWorkReporters = 4;                  // of a data centre, as in the gateway
constexpr std::size_t kWorkBytes = 20 * kServices; // "drafting=1234,5678;" for each service
constexpr std::uint64_t kUsageSummarySeconds = 20;
constexpr std::uint64_t kGenerationSeconds = 20;
constexpr double kBytesPerMicrosecond = 12.5; // 100 Mbit/s

int RegionOf(const std::string& aName)
{
  return aName[2] - '0' < 3 ? 0 : 1;
}

Duration DelayOf(const std::string& aFrom, const std::string& aTo, const std::string& aFrame)
{
  const Duration transfer = Microseconds(
    static_cast<std::int64_t>(static_cast<double>(aFrame.size()) / kBytesPerMicrosecond));
  if (aFrom[2] == aTo[2]) {
    return transfer + Microseconds(500);
  }
  return transfer + (RegionOf(aFrom) == RegionOf(aTo) ? Milliseconds(1) : Milliseconds(20));
}

} // namespace

std::size_t BytesOnNetwork(std::size_t aFrameSize)
{
  constexpr std::size_t kTlsRecord = 22;
  constexpr std::size_t kTcpIp = 52; // IPv4 and TCP with time stamps
  constexpr std::size_t kSegment = 1448;
  const std::size_t segments = (aFrameSize + kTlsRecord + kSegment - 1) / kSegment;
  const std::size_t acknowledgements = (segments + 1) / 2;
  return aFrameSize + kTlsRecord + (segments + acknowledgements) * kTcpIp;
}

ControlNode::ControlNode(PeerStateMachine aMachine, int aNumber, int aDataCentre,
                         const ControlSettings& aSettings)
  : mMachine(std::move(aMachine))
  , mNumber(aNumber)
  , mDataCentre(aDataCentre)
  , mSettings(aSettings)
  , mRandom(static_cast<std::uint64_t>(aNumber) + 1)
{
}

ControlNode::Outgoing ControlNode::Start(Time aNow)
{
  mNextPublication = aNow + Microseconds(static_cast<std::int64_t>(mRandom.Below(1000000)));
  return Take(mMachine.Start(aNow), aNow);
}

ControlNode::Outgoing ControlNode::Take(const PeerActions& aActions, Time aNow)
{
  for (const MemberRecord& member : aActions.members) {
    if (!IsPresent(member.state)) {
      mRemovedAt.emplace(member.name, aNow);
    }
  }
  if (aActions.configuration) {
    mGenerationAt = aNow;
  }
  Outgoing outgoing;
  for (const OutgoingPeerMessage& send : aActions.sends) {
    outgoing.emplace_back(send.address, *wire::EncodeFrame(ToWire(send.message)));
  }
  return outgoing;
}

ControlNode::Outgoing ControlNode::OnMessage(const std::string& aFrom, const std::string& aFrame,
                                             Time aNow)
{
  wire::FrameDecoder decoder;
  decoder.Append(aFrame);
  const Result<std::optional<wire::Message>, wire::WireError> message = decoder.Next();
  return Take(mMachine.OnMessage(aFrom, *FromWire(**message), aNow), aNow);
}

ControlNode::Outgoing ControlNode::OnTime(Time aNow)
{
  Outgoing outgoing = Take(mMachine.OnTime(aNow), aNow);
  if (aNow >= mNextPublication) {
    PublishDue(aNow, outgoing);
    mNextPublication += Seconds(1);
    ++mSeconds;
  }
  return outgoing;
}

std::optional<Time> ControlNode::NextWakeUp() const
{
  return std::min(*mMachine.NextWakeUp(), mNextPublication);
}

bool ControlNode::IsOwner(const std::string& aKey)
{
  const std::uint64_t view = mMachine.Members().Table().Digest();
  if (view != std::exchange(mOwnedView, view)) {
    mOwned.clear();
  }
  const std::map<std::string, bool>::iterator it = mOwned.find(aKey);
  if (it != mOwned.end()) {
    return it->second;
  }
  const MemberRecord self = mMachine.Members().Self();
  const OwnerRole role =
    RoleFor(mMachine.Members().Table().PresentIn(self.dataCentre), aKey, self.name);
  return mOwned[aKey] = role == OwnerRole::Owner;
}

void ControlNode::PublishDue(Time aNow, Outgoing& aOutgoing)
{
  for (int engine = mDataCentre; engine < mSettings.engines; engine += mSettings.dataCentres) {
    const std::string name = "draft-" + std::to_string(engine);
    if (IsOwner(name)) {
      PublishLoad(engine, aNow, aOutgoing);
    }
  }
  const std::string dataCentre = "dc" + std::to_string(mDataCentre);
  if (mSeconds % kGenerationSeconds ==
      0) { // the generation that the daemon applies, as the gateway does
    Publish({ EntryKind::Health, "generation/" + std::to_string(mNumber) }, "1", aNow, aOutgoing);
  }
  if (mSeconds % kUsageSeconds == 0) {
    Publish({ EntryKind::AccountUsage, std::to_string(mNumber) }, std::string(kUsageBytes, 'u'),
            aNow, aOutgoing);
  }
  const bool reportsWork = mNumber / mSettings.dataCentres < kWorkReporters;
  if (reportsWork && mSeconds % kWorkSeconds == 0) {
    Publish({ EntryKind::OfferedWork, std::to_string(mNumber) }, std::string(kWorkBytes, 'w'), aNow,
            aOutgoing);
  }
  for (int service = 0; mSeconds % kSummarySeconds == 0 && service < kServices; ++service) {
    const std::string name = "service-" + std::to_string(service) + "/" + dataCentre;
    if (IsOwner(name)) {
      Publish({ EntryKind::ServiceSummary, name }, std::string(kSummaryBytes, 's'), aNow,
              aOutgoing);
    }
  }
  if (mSeconds % kUsageSummarySeconds == 0 && IsOwner("usage/" + dataCentre)) {
    Publish({ EntryKind::UsageSummary, dataCentre }, std::string(kUsageSummaryBytes, 'u'), aNow,
            aOutgoing);
  }
}

void ControlNode::PublishLoad(int aEngine, Time aNow, Outgoing& aOutgoing)
{
  constexpr int kSteps = 100; // of 10 ms in a poll interval
  constexpr double kArrival = 8.0 / kSteps;
  constexpr double kDeparture = 0.25 / kSteps;
  constexpr std::uint16_t kBlocksPerRequest = 30;
  PolledEngine& engine = mPolled[aEngine];
  EngineLoadValue& load = engine.polled;
  if (load.sequence == 0) {
    load = { 100000, 250, 32, 0, 0, 2000, 1, 1 };
  }
  for (int step = 0; step < kSteps; ++step) {
    load.running += mRandom.Chance(kArrival) ? 1 : 0;
    load.running -= mRandom.Chance(kDeparture * load.running) ? 1 : 0;
  }
  load.sequence += 4;
  load.kvBlocksUsed = static_cast<std::uint16_t>(std::min(2000, load.running * kBlocksPerRequest));
  if (ShouldPublishLoad(engine.published, load, aNow - engine.publishedAt)) {
    engine.published = load;
    engine.publishedAt = aNow;
    const std::string name = "draft-" + std::to_string(aEngine);
    Publish({ EntryKind::EngineLoad, name }, Encode(load), aNow, aOutgoing);
  }
}

void ControlNode::Publish(const EntryKey& aKey, std::string aValue, Time aNow, Outgoing& aOutgoing)
{
  Outgoing more = Take(mMachine.Publish(aKey, std::move(aValue), aNow), aNow);
  std::move(more.begin(), more.end(), std::back_inserter(aOutgoing));
}

ControlFleet::ControlFleet(const ControlSettings& aSettings)
  : mNetwork(20261204)
  , mSettings(aSettings)
{
  mNetwork.mDelay = DelayOf;
  mNetwork.mOnSend = [this](const std::string& aFrom, const std::string& aTo,
                            const std::string& aFrame) {
    mSent[aFrom] += BytesOnNetwork(aFrame.size());
    mReceived[aTo] += BytesOnNetwork(aFrame.size());
    ++mFrames;
  };
}

std::string ControlFleet::NameOf(int aNumber) const
{
  return "dc" + std::to_string(DataCentreOf(aNumber)) + "-host-" + std::to_string(aNumber) +
         ".example.net:7080";
}

void ControlFleet::Settle()
{
  for (int number = 0; number < mSettings.daemons; ++number) {
    const std::string address = NameOf(number);
    const std::string dataCentre = "dc" + std::to_string(DataCentreOf(number));
    MembershipSettings membership;
    membership.self = { HostName("host-" + std::to_string(number)),
                        address,
                        DataCentreName(dataCentre),
                        RegionName("region"),
                        1,
                        MemberState::Alive };
    membership.seeds = { NameOf(0), NameOf(1) };
    membership.randomSeed = static_cast<std::uint64_t>(number) + 1;
    SpreadSettings spread;
    spread.self = membership.self.name;
    spread.dataCentre = membership.self.dataCentre;
    spread.isPruning = mSettings.isPruning;
    PeerStateMachine machine = *PeerStateMachine::Create(membership, spread, mNetwork.Now());
    std::unique_ptr<ControlNode>& node = mNodes[address];
    node =
      std::make_unique<ControlNode>(std::move(machine), number, DataCentreOf(number), mSettings);
    ControlNode::Outgoing outgoing = node->Start(mNetwork.Now());
    mNetwork.Add(address, *node, std::move(outgoing));
  }
  mNetwork.RunFor(Seconds(60));
}

void ControlFleet::Kill(int aNumber)
{
  mNetwork.Kill(NameOf(aNumber));
  mNodes.erase(NameOf(aNumber));
}

} // namespace masticstep::bench
