#include "RemoteLinks.hpp"

#include "masticstep/membership/MembershipSettings.hpp"
#include "masticstep/membership/Rendezvous.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace masticstep {

namespace {

using ByDataCentre = std::map<DataCentreName, std::vector<MemberRecord>>;

bool Holds(const std::vector<MemberRecord>& aMembers, const HostName& aName)
{
  return std::any_of(aMembers.begin(), aMembers.end(),
                     [&aName](const MemberRecord& aMember) { return aMember.name == aName; });
}

// Returns the daemons of a data centre that keep the links to each of the others. Every daemon with
// the same view gets the same answer, so both sides of a pair know both.
ByDataCentre LinkKeepers(const ByDataCentre& aMembers, const DataCentreName& aOwn)
{
  std::vector<MemberRecord> free = aMembers.at(aOwn);
  const bool isEnough = free.size() >= (aMembers.size() - 1) * kLinksPerDataCentre;
  ByDataCentre keepers;
  for (const std::pair<const DataCentreName, std::vector<MemberRecord>>& other : aMembers) {
    if (other.first == aOwn) {
      continue;
    }
    const std::string key =
      std::min(aOwn, other.first).Text() + "/" + std::max(aOwn, other.first).Text();
    std::vector<MemberRecord>& chosen = keepers[other.first];
    chosen = ChooseByRendezvous(free, key, kLinksPerDataCentre);
    if (isEnough) {
      std::erase_if(free, [&chosen](const MemberRecord& aOne) { return Holds(chosen, aOne.name); });
    }
  }
  return keepers;
}

} // namespace

std::vector<MemberRecord> ChooseRemoteLinks(const std::vector<MemberRecord>& aPresent,
                                            const MemberRecord& aSelf)
{
  ByDataCentre members;
  for (const MemberRecord& member : aPresent) {
    members[member.dataCentre].push_back(member);
  }
  std::vector<MemberRecord> links;
  if (!members.contains(aSelf.dataCentre)) {
    return links;
  }
  for (const std::pair<const DataCentreName, std::vector<MemberRecord>>& item :
       LinkKeepers(members, aSelf.dataCentre)) {
    if (Holds(item.second, aSelf.name)) {
      const std::vector<MemberRecord> there = LinkKeepers(members, item.first).at(aSelf.dataCentre);
      links.insert(links.end(), there.begin(), there.end());
    }
  }
  return links;
}

} // namespace masticstep
