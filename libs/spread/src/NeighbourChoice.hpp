#pragma once

#include "masticstep/membership/MemberRecord.hpp"

#include <vector>

namespace masticstep {

// Returns the successors and predecessors of a daemon in two rings, each ordered by a different
// hash. The union of two random rings is connected, and the diameter for 74 daemons is at most 5
// links. The neighbour relation is symmetric among daemons with equal views.
std::vector<MemberRecord> ChooseNeighbours(const std::vector<MemberRecord>& aMembers,
                                           const HostName& aSelf);

} // namespace masticstep
