#pragma once

#include "masticstep/membership/MemberRecord.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace masticstep {

// Returns up to aCount members with the highest hash of (key, name), best first. Every daemon with
// the same view gets the same answer, and a change of one member moves only its own keys.
std::vector<MemberRecord> ChooseByRendezvous(const std::vector<MemberRecord>& aMembers,
                                             std::string_view aKey, std::size_t aCount);

} // namespace masticstep
