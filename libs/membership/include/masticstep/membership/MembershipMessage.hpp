#pragma once

#include "masticstep/membership/MemberRecord.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace masticstep {

enum class MembershipMessageKind : std::uint8_t
{
  Probe,        // answered by Ack with the same sequence
  Ack,          //
  ProbeRequest, // asks the receiver to probe the target
  Sync,         // all records of the sender; answered by SyncReply
  SyncReply,    //
  Update        // changes that must not wait for the next probe
};

struct MembershipMessage
{
  MembershipMessageKind kind = MembershipMessageKind::Probe;
  std::uint64_t sequence = 0;
  std::uint64_t digest = 0; // of the sender's view
  std::string target;       // address that a ProbeRequest is about
  std::vector<MemberRecord> records;

  bool operator==(const MembershipMessage&) const = default;
};

struct OutgoingMembershipMessage
{
  std::string address;
  MembershipMessage message;

  bool operator==(const OutgoingMembershipMessage&) const = default;
};

struct MembershipActions
{
  std::vector<OutgoingMembershipMessage> sends;
  std::vector<MemberRecord> changes; // records of this daemon's view that are new or changed

  bool operator==(const MembershipActions&) const = default;
};

} // namespace masticstep
