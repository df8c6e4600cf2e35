#include "RemoteLinks.hpp"

#include "masticstep/membership/MembershipSettings.hpp"
#include "masticstep/membership/Rendezvous.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace masticstep {

namespace {

using MembersByDataCentre = std::map<DataCentreName, std::vector<MemberRecord>>;

bool ContainsMember(const std::vector<MemberRecord>& aMembers, const HostName& aName)
{
  return std::any_of(aMembers.begin(), aMembers.end(),
                     [&aName](const MemberRecord& aMember) { return aMember.name == aName; });
}

// Returns, for each other data centre, the daemons of aOwn that keep the links to it. Daemons with
// equal views get the same result, so both sides of a pair agree on all endpoints.
MembersByDataCentre ChooseLinkEndpoints(const MembersByDataCentre& aMembers,
                                        const DataCentreName& aOwn)
{
  std::vector<MemberRecord> available = aMembers.at(aOwn);
  const bool hasEnoughMembers = available.size() >= (aMembers.size() - 1) * kLinksPerDataCentre;
  MembersByDataCentre endpoints;
  for (const std::pair<const DataCentreName, std::vector<MemberRecord>>& other : aMembers) {
    if (other.first == aOwn) {
      continue;
    }
    const std::string key =
      std::min(aOwn, other.first).Text() + "/" + std::max(aOwn, other.first).Text();
    std::vector<MemberRecord>& chosen = endpoints[other.first];
    chosen = ChooseByRendezvous(available, key, kLinksPerDataCentre);
    if (hasEnoughMembers) {
      std::erase_if(available, [&chosen](const MemberRecord& aCandidate) {
        return ContainsMember(chosen, aCandidate.name);
      });
    }
  }
  return endpoints;
}

} // namespace

std::vector<MemberRecord> ChooseRemoteLinks(const std::vector<MemberRecord>& aPresent,
                                            const MemberRecord& aSelf)
{
  MembersByDataCentre members;
  for (const MemberRecord& member : aPresent) {
    members[member.dataCentre].push_back(member);
  }
  std::vector<MemberRecord> links;
  if (!members.contains(aSelf.dataCentre)) {
    return links;
  }
  for (const std::pair<const DataCentreName, std::vector<MemberRecord>>& item :
       ChooseLinkEndpoints(members, aSelf.dataCentre)) {
    if (ContainsMember(item.second, aSelf.name)) {
      const std::vector<MemberRecord> remoteEndpoints =
        ChooseLinkEndpoints(members, item.first).at(aSelf.dataCentre);
      links.insert(links.end(), remoteEndpoints.begin(), remoteEndpoints.end());
    }
  }
  return links;
}

} // namespace masticstep
