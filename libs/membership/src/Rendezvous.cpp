#include "masticstep/membership/Rendezvous.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace masticstep {

std::vector<MemberRecord> ChooseByRendezvous(const std::vector<MemberRecord>& aMembers,
                                             std::string_view aKey, std::size_t aCount)
{
  const std::uint64_t seed = Hash64(aKey);
  std::vector<std::pair<std::uint64_t, std::size_t>> scores;
  scores.reserve(aMembers.size());
  for (std::size_t i = 0; i < aMembers.size(); ++i) {
    scores.emplace_back(Hash64(aMembers[i].name.Text(), seed), i);
  }
  const std::size_t n = std::min(aCount, scores.size());
  std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(n), scores.end(),
                    std::greater<>());
  std::vector<MemberRecord> chosen;
  for (std::size_t i = 0; i < n; ++i) {
    chosen.push_back(aMembers[scores[i].second]);
  }
  return chosen;
}

} // namespace masticstep
