#include "Cluster.hpp"

#include <algorithm>
#include <utility>

namespace masticstep {

std::string DataCentreOf(const std::string& aName)
{
  return aName.substr(0, aName.find('-'));
}

MembershipNode::Outgoing MembershipNode::RecordActions(MembershipActions aActions)
{
  mChanges.insert(mChanges.end(), aActions.changes.begin(), aActions.changes.end());
  Outgoing outgoing;
  for (OutgoingMembershipMessage& send : aActions.sends) {
    outgoing.emplace_back(std::move(send.address), std::move(send.message));
  }
  return outgoing;
}

MembershipNode::Outgoing MembershipNode::OnMessage(const std::string& aFrom,
                                                   const MembershipMessage& aMessage, Time aNow)
{
  return RecordActions(mMembership.OnMessage(aFrom, aMessage, aNow));
}

MembershipNode::Outgoing MembershipNode::OnTime(Time aNow)
{
  return RecordActions(mMembership.OnTime(aNow));
}

Cluster::Cluster(int aDataCentres, int aPerDataCentre, std::uint64_t aSeed)
  : mNetwork(aSeed)
{
  mNetwork.mDelay = [](const std::string& aFrom, const std::string& aTo, const MembershipMessage&) {
    return DataCentreOf(aFrom) == DataCentreOf(aTo) ? Milliseconds(1) : Milliseconds(20);
  };
  for (int dataCentre = 0; dataCentre < aDataCentres; ++dataCentre) {
    for (int i = 0; i < aPerDataCentre; ++i) {
      Start("dc" + std::to_string(dataCentre) + "-" + std::to_string(i), { "dc0-0", "dc0-1" });
    }
  }
}

void Cluster::Start(const std::string& aName, const std::vector<std::string>& aSeeds)
{
  MembershipSettings settings;
  settings.self = { HostName(aName),
                    aName,
                    DataCentreName(DataCentreOf(aName)),
                    RegionName("r"),
                    ++mLastIncarnation,
                    MemberState::Alive };
  settings.seeds = aSeeds;
  settings.randomSeed = mLastIncarnation;
  mNodes[aName] = std::make_unique<MembershipNode>(*Membership::Create(settings));
  MembershipNode& node = *mNodes[aName];
  mNetwork.Add(aName, node, node.RecordActions(node.mMembership.Start(mNetwork.Now())));
}

void Cluster::Leave(const std::string& aName)
{
  mNetwork.Send(aName, At(aName).RecordActions(At(aName).mMembership.Leave(mNetwork.Now())));
}

void Cluster::Kill(const std::string& aName)
{
  mNetwork.Kill(aName);
  mNodes.erase(aName);
}

bool Cluster::HasInView(const std::string& aViewer, const std::string& aMember)
{
  const MemberTable::Row* row = At(aViewer).mMembership.Table().Find(HostName(aMember));
  return row != nullptr && IsPresent(row->record.state);
}

bool Cluster::AllViewsEqual(const std::vector<std::string>& aMembers)
{
  std::vector<HostName> wanted;
  wanted.reserve(aMembers.size());
  for (const std::string& member : aMembers) {
    wanted.emplace_back(member);
  }
  std::sort(wanted.begin(), wanted.end());
  for (const std::pair<const std::string, std::unique_ptr<MembershipNode>>& node : mNodes) {
    std::vector<HostName> seen;
    for (const MemberRecord& member : node.second->mMembership.Members()) {
      seen.push_back(member.name);
    }
    if (seen != wanted) {
      return false;
    }
  }
  return true;
}

std::vector<std::string> Cluster::RunningDaemons() const
{
  std::vector<std::string> names;
  for (const std::pair<const std::string, std::unique_ptr<MembershipNode>>& node : mNodes) {
    names.push_back(node.first);
  }
  return names;
}

} // namespace masticstep
