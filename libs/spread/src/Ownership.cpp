#include "masticstep/spread/Ownership.hpp"

#include "masticstep/membership/Rendezvous.hpp"

namespace masticstep {

OwnerRole RoleFor(const std::vector<MemberRecord>& aMembers, std::string_view aKey,
                  const HostName& aSelf)
{
  const std::vector<MemberRecord> chosen = ChooseByRendezvous(aMembers, aKey, 2);
  if (!chosen.empty() && chosen[0].name == aSelf) {
    return OwnerRole::Owner;
  }
  return chosen.size() > 1 && chosen[1].name == aSelf ? OwnerRole::Standby : OwnerRole::None;
}

} // namespace masticstep
