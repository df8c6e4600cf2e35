#include "RemoteLinks.hpp"
#include "masticstep/membership/MembershipSettings.hpp"
#include "masticstep/testing/Test.hpp"

#include <algorithm>

using namespace masticstep;

namespace {

std::vector<MemberRecord> Members(int aDataCentres, int aEach)
{
  std::vector<MemberRecord> members;
  for (int number = 0; number < aDataCentres * aEach; ++number) {
    MemberRecord member;
    member.name = HostName("host-" + std::to_string(number));
    member.dataCentre = DataCentreName("dc" + std::to_string(number % aDataCentres));
    members.push_back(std::move(member));
  }
  return members;
}

bool HasLink(const std::vector<MemberRecord>& aMembers, const MemberRecord& aFrom,
             const MemberRecord& aTo)
{
  return std::ranges::count(ChooseRemoteLinks(aMembers, aFrom), aTo) > 0;
}

} // namespace

// Guards against links that only one side chooses, pairs of data centres without links, and daemons
// that serve several pairs although their data centre has enough daemons.
MASTICSTEP_TEST("each pair of data centres has four links that both sides know",
                "[membership][links]")
{
  for (const int each : { 1, 3, 8, 20 }) {
    const std::vector<MemberRecord> members = Members(5, each);
    std::size_t links = 0;
    for (const MemberRecord& member : members) {
      const std::vector<MemberRecord> others = ChooseRemoteLinks(members, member);
      links += others.size();
      CHECK_TRUE(each < 8 || others.size() <= kLinksPerDataCentre);
      for (const MemberRecord& other : others) {
        CHECK_TRUE(other.dataCentre != member.dataCentre);
        CHECK_TRUE(HasLink(members, other, member));
      }
    }
    // 10 pairs of data centres; each link is counted at both ends.
    const std::size_t endpointsPerSide = std::min<std::size_t>(static_cast<std::size_t>(each), 2);
    CHECK_EQUAL(20 * endpointsPerSide * endpointsPerSide, links);
  }
}
