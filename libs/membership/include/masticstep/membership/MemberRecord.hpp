#pragma once

#include "masticstep/base/Identifier.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace masticstep {

// The enumerators are ordered by precedence: of two records of one member with equal incarnations,
// the one with the greater state supersedes the other.
enum class MemberState : std::uint8_t
{
  Alive,
  Suspect,
  Dead,
  Left // announced a planned leave
};

// State of one daemon. The records of one daemon are totally ordered, by incarnation and state
// first, so views that merged the same records in any order are equal.
struct MemberRecord
{
  HostName name;
  std::string address; // HOST:PORT of the peer listener
  DataCentreName dataCentre;
  RegionName region;
  std::uint64_t incarnation = 0; // incremented only by the daemon itself
  MemberState state = MemberState::Alive;

  auto operator<=>(const MemberRecord&) const = default;
};

// Returns whether a record replaces another record of the same daemon.
bool Supersedes(const MemberRecord& aRecord, const MemberRecord& aOther);

// Returns whether the state counts as a member: Alive or Suspect.
bool IsPresent(MemberState aState);

} // namespace masticstep
