#pragma once

#include "masticstep/membership/MemberRecord.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace masticstep {

// Rendezvous (highest random weight) hashing: returns up to aCount members with the highest hash of
// (key, name), in descending order. Daemons with equal views get the same result, and adding or
// removing a member reassigns only the keys of that member.
std::vector<MemberRecord> ChooseByRendezvous(const std::vector<MemberRecord>& aMembers,
                                             std::string_view aKey, std::size_t aCount);

} // namespace masticstep
