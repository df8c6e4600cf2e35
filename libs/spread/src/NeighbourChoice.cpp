#include "NeighbourChoice.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace masticstep {

std::vector<MemberRecord> ChooseNeighbours(const std::vector<MemberRecord>& aMembers,
                                           const HostName& aSelf)
{
  constexpr std::uint64_t kRingCount = 2;
  std::map<HostName, MemberRecord> chosen;
  for (std::uint64_t ring = 0; ring < kRingCount; ++ring) {
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    order.reserve(aMembers.size());
    for (std::size_t i = 0; i < aMembers.size(); ++i) {
      order.emplace_back(Hash64(aMembers[i].name.Text(), ring + 1), i);
    }
    std::sort(order.begin(), order.end());
    for (std::size_t i = 0; i < order.size(); ++i) {
      if (aMembers[order[i].second].name != aSelf) {
        continue;
      }
      for (const std::size_t step : { std::size_t{ 1 }, order.size() - 1 }) {
        const MemberRecord& member = aMembers[order[(i + step) % order.size()].second];
        chosen.emplace(member.name, member);
      }
    }
  }
  chosen.erase(aSelf);
  std::vector<MemberRecord> neighbours;
  neighbours.reserve(chosen.size());
  for (const std::pair<const HostName, MemberRecord>& item : chosen) {
    neighbours.push_back(item.second);
  }
  return neighbours;
}

} // namespace masticstep
