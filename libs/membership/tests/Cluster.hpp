#pragma once

#include "masticstep/membership/Membership.hpp"
#include "masticstep/testing/VirtualNetwork.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace masticstep {

// Simulated daemon that runs Membership in virtual time and records the changes that it reports.
class MembershipNode : public testing::VirtualNode<MembershipMessage>
{
public:
  explicit MembershipNode(Membership aMembership)
    : mMembership(std::move(aMembership))
  {
  }

  Outgoing RecordActions(MembershipActions aActions);
  Outgoing OnMessage(const std::string& aFrom, const MembershipMessage& aMessage,
                     Time aNow) override;
  Outgoing OnTime(Time aNow) override;
  std::optional<Time> NextWakeUp() const override { return mMembership.NextWakeUp(); }

  Membership mMembership;
  std::vector<MemberRecord> mChanges;
};

// Simulated data centres dc0, dc1, ... with aPerDataCentre daemons each. A daemon is named like
// "dc0-0", and its name is also its address.
class Cluster
{
public:
  Cluster(int aDataCentres, int aPerDataCentre, std::uint64_t aSeed);

  void Start(const std::string& aName, const std::vector<std::string>& aSeeds);
  void Leave(const std::string& aName);
  void Kill(const std::string& aName);
  MembershipNode& At(const std::string& aName) { return *mNodes.at(aName); }
  bool HasInView(const std::string& aViewer, const std::string& aMember);
  // Returns whether the view of each running daemon has exactly these members.
  bool AllViewsEqual(const std::vector<std::string>& aMembers);
  std::vector<std::string> RunningDaemons() const;

  testing::VirtualNetwork<MembershipMessage> mNetwork;

private:
  std::map<std::string, std::unique_ptr<MembershipNode>> mNodes;
  std::uint64_t mLastIncarnation = 0;
};

// Returns the data centre prefix of a daemon name.
std::string DataCentreOf(const std::string& aName);

} // namespace masticstep
