#pragma once

#include "masticstep/base/Identifier.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace masticstep {

// The order of the enumerators decides between two records of one incarnation: the later one wins.
enum class MemberState : std::uint8_t
{
  Alive,
  Suspect,
  Dead,
  Left // planned leave
};

// What is known of one daemon. Records of one daemon form a total order by incarnation and state,
// so views that saw the same records in any order are equal.
struct MemberRecord
{
  HostName name;
  std::string address; // HOST:PORT for peers
  DataCentreName dataCentre;
  RegionName region;
  std::uint64_t incarnation = 0; // raised only by the daemon itself
  MemberState state = MemberState::Alive;

  auto operator<=>(const MemberRecord&) const = default;
};

// Returns true if the record replaces the other record of the same daemon.
bool Supersedes(const MemberRecord& aRecord, const MemberRecord& aOther);

// Returns true for Alive and Suspect.
bool IsPresent(MemberState aState);

} // namespace masticstep
