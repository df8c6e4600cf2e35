#include "masticstep/membership/MemberRecord.hpp"

namespace masticstep {

bool Supersedes(const MemberRecord& aRecord, const MemberRecord& aOther)
{
  if (aRecord.incarnation != aOther.incarnation) {
    return aRecord.incarnation > aOther.incarnation;
  }
  if (aRecord.state != aOther.state) {
    return aRecord.state > aOther.state;
  }
  return aRecord > aOther;
}

bool IsPresent(MemberState aState)
{
  return aState == MemberState::Alive || aState == MemberState::Suspect;
}

} // namespace masticstep
