#pragma once

#include "masticstep/membership/MemberRecord.hpp"

#include <vector>

namespace masticstep {

// Returns the successors and predecessors of a daemon in two rings, each in the order of another
// hash. Two random rings together are connected, and any two of 74 daemons are at most 5 links
// apart. The relation is symmetric among daemons with the same view.
std::vector<MemberRecord> ChooseNeighbours(const std::vector<MemberRecord>& aMembers,
                                           const HostName& aSelf);

} // namespace masticstep
