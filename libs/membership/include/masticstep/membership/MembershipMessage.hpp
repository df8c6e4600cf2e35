#pragma once

#include "masticstep/membership/MemberRecord.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace masticstep {

enum class MembershipMessageKind : std::uint8_t
{
  Probe, // answered with Ack of the same sequence
  Ack,
  ProbeRequest, // asks the receiver to probe the target and forward its Ack
  Sync,         // all records of the sender; answered with SyncReply
  SyncReply,    // all records of the sender
  Update        // changed records that are sent at once; also further parts of Sync and SyncReply
};

struct MembershipMessage
{
  MembershipMessageKind kind = MembershipMessageKind::Probe;
  std::uint64_t sequence = 0;
  std::uint64_t digest = 0; // MemberTable::Digest of the sender
  std::string target;       // address to probe, for ProbeRequest
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
  std::vector<MemberRecord> changes; // new or changed records of this daemon's view

  bool operator==(const MembershipActions&) const = default;
};

} // namespace masticstep
