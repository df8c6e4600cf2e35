#pragma once

#include "masticstep/membership/MemberRecord.hpp"

#include <string_view>
#include <vector>

namespace masticstep {

enum class OwnerRole : std::uint8_t
{
  None,
  Owner,  // polls and publishes
  Standby // polls, and publishes while the owner's entry is stale
};

// Returns the role of a daemon for a key among the members of its data centre.
OwnerRole RoleFor(const std::vector<MemberRecord>& aMembers, std::string_view aKey,
                  const HostName& aSelf);

} // namespace masticstep
