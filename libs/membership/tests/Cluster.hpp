#pragma once

#include "masticstep/membership/Membership.hpp"
#include "masticstep/testing/VirtualNetwork.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace masticstep {

// One daemon's membership in a virtual-time run.
class MembershipNode : public testing::VirtualNode<MembershipMessage>
{
public:
  explicit MembershipNode(Membership aMembership)
    : mMembership(std::move(aMembership))
  {
  }

  Outgoing Take(MembershipActions aActions);
  Outgoing OnMessage(const std::string& aFrom, const MembershipMessage& aMessage,
                     Time aNow) override;
  Outgoing OnTime(Time aNow) override;
  std::optional<Time> NextWakeUp() const override { return mMembership.NextWakeUp(); }

  Membership mMembership;
  std::vector<MemberRecord> mChanges;
};

// Data centres dc0, dc1, ... with aPerDataCentre daemons each; names are "dc0-0" and also the
// addresses.
class Cluster
{
public:
  Cluster(int aDataCentres, int aPerDataCentre, std::uint64_t aSeed);

  void Start(const std::string& aName, const std::vector<std::string>& aSeeds);
  void Leave(const std::string& aName);
  void Kill(const std::string& aName);
  MembershipNode& At(const std::string& aName) { return *mNodes.at(aName); }
  bool Sees(const std::string& aViewer, const std::string& aMember);
  // Returns whether the views of all running daemons hold exactly these members.
  bool AllSee(const std::vector<std::string>& aMembers);
  // Returns the names of the running daemons.
  std::vector<std::string> Running() const;

  testing::VirtualNetwork<MembershipMessage> mNetwork;

private:
  std::map<std::string, std::unique_ptr<MembershipNode>> mNodes;
  std::uint64_t mStarts = 0;
};

// Returns the data centre part of a name.
std::string DataCentreOf(const std::string& aName);

} // namespace masticstep
