#pragma once

#include "masticstep/base/Random.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/membership/MemberTable.hpp"
#include "masticstep/membership/MembershipError.hpp"
#include "masticstep/membership/MembershipMessage.hpp"
#include "masticstep/membership/MembershipSettings.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticstep {

// Group membership and failure detection in the manner of SWIM, as a state machine without I/O.
// Within a data centre, every daemon probes a random member and its successor by name each
// kProbeInterval; probing the successor ensures that every daemon is probed in each interval. A
// member that answers neither the direct probe nor those of kIndirectProbes others becomes suspect,
// and is removed after kSuspicionTimeout unless it refutes. Members of other data centres are not
// subject to failure detection here: their records come from their own data centre over a few
// links, so that a partition between data centres removes no member.
//
// Call Start once, then OnMessage and OnTime with non-decreasing times, and execute the returned
// actions of each call.
class Membership
{
public:
  static Result<Membership, MembershipError> Create(MembershipSettings aSettings);

  MembershipActions Start(Time aNow);
  MembershipActions OnMessage(const std::string& aFrom, const MembershipMessage& aMessage,
                              Time aNow);
  MembershipActions OnTime(Time aNow);
  // Sets the addresses from the platform's host list, replacing those of the previous call.
  MembershipActions OnContacts(const std::vector<Contact>& aContacts, Time aNow);
  // Reports that the link to the address broke or could not be opened. Probes the member at once
  // instead of in its turn.
  MembershipActions OnLinkFailed(const std::string& aAddress, Time aNow);
  // Announces the planned leave to all members of the data centre and over the links to others.
  MembershipActions Leave(Time aNow);

  std::optional<Time> NextWakeUp() const { return mNextWakeUp; }
  const MemberTable& Table() const { return mTable; }
  // Alive and suspect members, including this daemon unless it left.
  std::vector<MemberRecord> Members() const { return mTable.Present(); }
  MemberRecord Self() const { return mTable.Find(mSettings.self.name)->record; }
  // Members of other data centres to which this daemon keeps links.
  const std::vector<MemberRecord>& RemoteLinks() const;

private:
  struct PendingProbe
  {
    HostName target; // empty if only the address is known
    std::string address;
    Time sentAt;
    bool directTimedOut = false;
  };
  // Probe sent on behalf of another member.
  struct RelayedProbe
  {
    std::string origin;
    std::uint64_t originSequence = 0;
    Time sentAt;
  };
  // Changed record that is piggybacked on probes and acks.
  struct GossipUpdate
  {
    HostName name;
    unsigned transmissionsLeft = 0;
  };

  explicit Membership(MembershipSettings aSettings);

  void HandleProbeRequest(const std::string& aFrom, const MembershipMessage& aMessage, Time aNow,
                          MembershipActions& aActions);
  void HandleAck(const MembershipMessage& aMessage, MembershipActions& aActions);
  void CompareDigest(const std::string& aFrom, std::uint64_t aDigest, Time aNow,
                     MembershipActions& aActions);
  void ApplyRecords(const std::vector<MemberRecord>& aRecords, Time aNow,
                    MembershipActions& aActions);
  void ApplyRecord(const MemberRecord& aRecord, Time aNow, MembershipActions& aActions);
  void RefuteRecord(const MemberRecord& aRecord, Time aNow, MembershipActions& aActions);
  void StartProbeRound(Time aNow, MembershipActions& aActions);
  void TryReconnect(Time aNow, MembershipActions& aActions);
  void CheckProbeTimeouts(Time aNow, MembershipActions& aActions);
  void SendIndirectProbes(std::uint64_t aSequence, const PendingProbe& aProbe,
                          MembershipActions& aActions);
  void MarkSuspect(const HostName& aName, Time aNow, MembershipActions& aActions);
  void ExpireSuspicions(Time aNow, MembershipActions& aActions);
  void ResetTimersAfterPause(Time aNow);
  void SendProbe(const HostName& aName, const std::string& aAddress, Time aNow,
                 MembershipActions& aActions);
  void SendUrgentUpdates(MembershipActions& aActions);
  void Send(const std::string& aAddress, MembershipMessage aMessage, MembershipActions& aActions);
  void SendSync(const std::string& aAddress, MembershipMessageKind aKind,
                MembershipActions& aActions);
  MembershipActions FinalizeActions(MembershipActions aActions);
  std::vector<MemberRecord> DequeueGossip();
  const std::vector<MemberRecord>& LocalPeers() const;
  void RefreshCache() const;
  std::optional<MemberRecord> NextRandomTarget();
  std::optional<MemberRecord> Successor() const;
  std::vector<std::string> ReconnectAddresses() const;

  MembershipSettings mSettings;
  Random mRandom;
  MemberTable mTable;
  std::vector<Contact> mContacts;
  std::map<std::uint64_t, PendingProbe> mPendingProbes;
  std::map<std::uint64_t, RelayedProbe> mRelayedProbes;
  std::map<HostName, Time> mSuspicionDeadlines;
  std::deque<GossipUpdate> mGossipQueue;
  std::vector<HostName> mUrgentUpdates; // sent at the end of the call, in addition to the gossip
  std::vector<HostName> mProbeOrder;
  std::uint64_t mLastSequence = 0;
  // Set once the first message has been applied. The records in that message are not gossiped,
  // because the other members know them already.
  bool mJoined = false;
  // Alternates between probe rounds. Every other round also probes the members at the remote links,
  // only to exchange updates and digests.
  bool mIsRemoteRound = false;
  bool mLeft = false;
  // Results derived from the view, cached because they are needed several times a second and
  // computing one takes about 100 us with 370 members. They are valid for the change count of
  // mTable in mCacheTableVersion.
  mutable std::uint64_t mCacheTableVersion = 0;
  mutable std::vector<MemberRecord> mCachedRemoteLinks;
  mutable std::vector<MemberRecord> mCachedLocalPeers;
  std::optional<Time> mNextWakeUp;
  Time mNextProbeRound;
  Time mNextReconnect;
  Time mNextSync;
};

} // namespace masticstep
