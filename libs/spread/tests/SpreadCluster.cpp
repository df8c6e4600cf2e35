#include "SpreadCluster.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>
#include <utility>

namespace masticstep {

namespace {

std::string DaemonName(int aDataCentre, int aNumber)
{
  return "dc" + std::to_string(aDataCentre) + "-" + std::to_string(aNumber);
}

MemberRecord MakeRecord(const std::string& aName)
{
  return { HostName(aName), aName, DataCentreName(aName.substr(0, aName.find('-'))),
           RegionName("r"), 1,     MemberState::Alive };
}

} // namespace

SpreadNode::Outgoing SpreadNode::RecordActions(SpreadActions aActions, Time aNow)
{
  mChanges.insert(mChanges.end(), aActions.changes.begin(), aActions.changes.end());
  if (aActions.configuration) {
    mGenerations.push_back(aActions.configuration->generation);
    mLastGenerationAt = aNow;
  }
  Outgoing outgoing;
  for (OutgoingSpreadMessage& send : aActions.sends) {
    outgoing.emplace_back(std::move(send.address), std::move(send.message));
  }
  return outgoing;
}

SpreadNode::Outgoing SpreadNode::OnMessage(const std::string& aFrom, const SpreadPayload& aMessage,
                                           Time aNow)
{
  if (const SpreadMessage* message = std::get_if<SpreadMessage>(&aMessage)) {
    return RecordActions(mSpread.OnMessage(aFrom, *message, aNow), aNow);
  }
  return RecordActions(mSpread.OnMessage(aFrom, std::get<ContentMessage>(aMessage), aNow), aNow);
}

SpreadNode::Outgoing SpreadNode::OnTime(Time aNow)
{
  return RecordActions(mSpread.OnTime(aNow), aNow);
}

SpreadCluster::SpreadCluster(int aDataCentres, int aPerDataCentre, std::uint64_t aSeed)
  : mNetwork(aSeed)
  , mDataCentres(aDataCentres)
  , mPerDataCentre(aPerDataCentre)
{
  for (int dataCentre = 0; dataCentre < aDataCentres; ++dataCentre) {
    for (int i = 0; i < aPerDataCentre; ++i) {
      Start(DaemonName(dataCentre, i));
    }
  }
}

void SpreadCluster::Start(const std::string& aName)
{
  SpreadSettings settings;
  settings.self = HostName(aName);
  settings.dataCentre = MakeRecord(aName).dataCentre;
  settings.firstVersion = 1000 * ++mStarts;
  mNodes[aName] = std::make_unique<SpreadNode>(*Spread::Create(settings, mNetwork.Now()));
  mNetwork.Add(aName, *mNodes[aName], {});
  SetView(aName, {});
}

void SpreadCluster::Restart(const std::string& aName)
{
  mNetwork.Kill(aName);
  for (const std::string& name : Names()) {
    At(name).mSpread.OnLinkReset(aName);
  }
  Start(aName);
}

void SpreadCluster::SetRemoved(const std::vector<std::string>& aNames)
{
  for (const std::string& name : Names()) {
    SetView(name, aNames);
  }
}

void SpreadCluster::SetView(const std::string& aName, const std::vector<std::string>& aRemoved)
{
  const MemberRecord self = MakeRecord(aName);
  std::vector<MemberRecord> members;
  std::vector<MemberRecord> remote;
  for (int dataCentre = 0; dataCentre < mDataCentres; ++dataCentre) {
    for (int i = 0; i < mPerDataCentre; ++i) {
      const MemberRecord other = MakeRecord(DaemonName(dataCentre, i));
      const bool isRemoved = std::ranges::count(aRemoved, other.address) > 0;
      if (!isRemoved && other.dataCentre == self.dataCentre) {
        members.push_back(other);
      } else if (!isRemoved && i == 0 && aName.ends_with("-0")) {
        remote.push_back(other);
      }
    }
  }
  SpreadNode& node = At(aName);
  mNetwork.Send(aName, node.RecordActions(node.mSpread.OnView(members, remote, mNetwork.Now()),
                                          mNetwork.Now()));
}

void SpreadCluster::Publish(const std::string& aName, const EntryKey& aKey,
                            const std::string& aValue)
{
  SpreadNode& node = At(aName);
  mNetwork.Send(
    aName, node.RecordActions(node.mSpread.Publish(aKey, aValue, mNetwork.Now()), mNetwork.Now()));
}

void SpreadCluster::PublishConfiguration(const std::string& aName,
                                         const ConfigurationBundle& aBundle)
{
  SpreadNode& node = At(aName);
  mNetwork.Send(
    aName,
    node.RecordActions(node.mSpread.PublishConfiguration(aBundle, mNetwork.Now()), mNetwork.Now()));
}

std::string SpreadCluster::ValueAt(const std::string& aName, const EntryKey& aKey)
{
  const std::optional<Entry> entry = At(aName).mSpread.Table().Get(aKey, mNetwork.Now());
  return entry ? entry->value : "";
}

std::size_t SpreadCluster::CountHolders(const EntryKey& aKey, const std::string& aValue)
{
  std::size_t n = 0;
  for (const std::string& name : Names()) {
    n += ValueAt(name, aKey) == aValue ? 1U : 0U;
  }
  return n;
}

std::vector<std::string> SpreadCluster::Names() const
{
  std::vector<std::string> names;
  for (const std::pair<const std::string, std::unique_ptr<SpreadNode>>& node : mNodes) {
    names.push_back(node.first);
  }
  return names;
}

ConfigurationBundle MakeBundle(std::uint64_t aGeneration, const std::vector<std::string>& aContents)
{
  ConfigurationBundle bundle;
  bundle.generation = aGeneration;
  bundle.manifest = "generation " + std::to_string(aGeneration);
  for (const std::string& content : aContents) {
    bundle.contents[Sha256Hex(content)] = std::make_shared<const std::string>(content);
  }
  return bundle;
}

} // namespace masticstep
