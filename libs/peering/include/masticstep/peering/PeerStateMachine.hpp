#pragma once

#include "masticstep/membership/Membership.hpp"
#include "masticstep/peering/PeerMessage.hpp"
#include "masticstep/spread/Spread.hpp"

#include <optional>
#include <string>
#include <vector>

namespace masticstep {

struct OutgoingPeerMessage
{
  std::string address;
  PeerMessage message;

  bool operator==(const OutgoingPeerMessage&) const = default;
};

struct PeerActions
{
  std::vector<OutgoingPeerMessage> sends;
  std::vector<MemberRecord> members; // new or changed
  std::vector<Entry> entries;        // new or newer
  std::optional<ConfigurationBundle> configuration;

  bool operator==(const PeerActions&) const = default;
};

// Membership and gossip (Spread) of one daemon as a state machine without I/O. Each change of
// the membership view is passed on to Spread.
class PeerStateMachine
{
public:
  static Result<PeerStateMachine, MembershipError> Create(MembershipSettings aMembership,
                                                          SpreadSettings aSpread, Time aNow);

  PeerActions Start(Time aNow);
  PeerActions OnMessage(const std::string& aFrom, const PeerMessage& aMessage, Time aNow);
  PeerActions OnTime(Time aNow);
  PeerActions OnContacts(const std::vector<Contact>& aContacts, Time aNow);
  // The link to the address failed; messages sent on it may be lost.
  PeerActions OnLinkFailed(const std::string& aAddress, Time aNow);
  PeerActions Leave(Time aNow);
  PeerActions Publish(const EntryKey& aKey, std::string aValue, Time aNow);
  PeerActions PublishConfiguration(ConfigurationBundle aBundle, Time aNow);

  std::optional<Time> NextWakeUp() const;
  const Membership& Members() const { return mMembership; }
  const Spread& Entries() const { return mSpread; }

private:
  PeerStateMachine(Membership aMembership, Spread aSpread);

  PeerActions ToPeerActions(MembershipActions aActions, Time aNow);
  PeerActions ToPeerActions(SpreadActions aActions);

  Membership mMembership;
  Spread mSpread;
};

} // namespace masticstep
