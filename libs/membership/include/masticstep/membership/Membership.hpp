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

// Members as one daemon sees them. Within a data centre every daemon probes one random member and
// its successor in the order of names each second; the successor makes sure that a dead daemon is
// probed within a second. A member that answers neither directly nor through three others is
// suspected and after kSuspicionTime removed. Members of other data centres are never judged from
// afar: their records come over a few links from their own data centre, so that a cut removes
// nobody.
//
// Call Start once, then OnMessage and OnTime with times that never go back, and carry out the
// actions of each call.
class Membership
{
public:
  static Result<Membership, MembershipError> Create(MembershipSettings aSettings);

  MembershipActions Start(Time aNow);
  MembershipActions OnMessage(const std::string& aFrom, const MembershipMessage& aMessage,
                              Time aNow);
  MembershipActions OnTime(Time aNow);
  // Addresses of the platform's host list, which replace those of the last call.
  MembershipActions OnContacts(const std::vector<Contact>& aContacts, Time aNow);
  // The link to the address broke or could not be opened: probes the member now instead of in its
  // turn.
  MembershipActions OnLinkFailed(const std::string& aAddress, Time aNow);
  // Announces the planned leave to all members of the data centre and over the links to others.
  MembershipActions Leave(Time aNow);

  std::optional<Time> NextWakeUp() const { return mNextWakeUp; }
  const MemberTable& Table() const { return mTable; }
  // Alive and suspected members, this daemon included unless it left.
  std::vector<MemberRecord> Members() const { return mTable.Present(); }
  MemberRecord Self() const { return mTable.Find(mSettings.self.name)->record; }
  // Members of other data centres to which this daemon keeps links.
  const std::vector<MemberRecord>& RemoteLinks() const;

private:
  struct PendingProbe
  {
    HostName target; // empty for a contact of unknown name
    std::string address;
    Time sent;
    bool indirect = false;
  };
  // Probe made on behalf of another member.
  struct RelayedProbe
  {
    std::string origin;
    std::uint64_t originSequence = 0;
    Time sent;
  };
  struct Rumour
  {
    HostName name;
    unsigned sendsLeft = 0;
  };

  explicit Membership(MembershipSettings aSettings);

  void HandleProbeRequest(const std::string& aFrom, const MembershipMessage& aMessage, Time aNow,
                          MembershipActions& aActions);
  void HandleAck(const MembershipMessage& aMessage, MembershipActions& aActions);
  void CompareDigest(const std::string& aFrom, std::uint64_t aDigest, Time aNow,
                     MembershipActions& aActions);
  void MergeAll(const std::vector<MemberRecord>& aRecords, Time aNow, MembershipActions& aActions);
  void Learn(const MemberRecord& aRecord, Time aNow, MembershipActions& aActions);
  void RefuteSelf(const MemberRecord& aRecord, Time aNow, MembershipActions& aActions);
  void ProbeRound(Time aNow, MembershipActions& aActions);
  void Reconnect(Time aNow, MembershipActions& aActions);
  void CheckPending(Time aNow, MembershipActions& aActions);
  void AskOthers(std::uint64_t aSequence, const PendingProbe& aProbe, MembershipActions& aActions);
  void Suspect(const HostName& aName, Time aNow, MembershipActions& aActions);
  void CheckSuspects(Time aNow, MembershipActions& aActions);
  void AfterPause(Time aNow);
  void SendProbe(const HostName& aName, const std::string& aAddress, Time aNow,
                 MembershipActions& aActions);
  void SendNews(MembershipActions& aActions);
  void Send(const std::string& aAddress, MembershipMessage aMessage, MembershipActions& aActions);
  void SendSync(const std::string& aAddress, MembershipMessageKind aKind,
                MembershipActions& aActions);
  MembershipActions Finish(MembershipActions aActions);
  std::vector<MemberRecord> TakeRumours();
  const std::vector<MemberRecord>& Neighbours() const;
  void RefreshCache() const;
  std::optional<MemberRecord> NextRandomTarget();
  std::optional<MemberRecord> Successor() const;
  std::vector<std::string> ReconnectAddresses() const;

  MembershipSettings mSettings;
  Random mRandom;
  MemberTable mTable;
  std::vector<Contact> mContacts;
  std::map<std::uint64_t, PendingProbe> mPending;
  std::map<std::uint64_t, RelayedProbe> mRelayed;
  std::map<HostName, Time> mSuspects;
  std::deque<Rumour> mRumours;
  std::vector<HostName> mUrgent;
  std::vector<HostName> mProbeOrder;
  std::uint64_t mSequence = 0;
  bool mJoined = false; // heard a full view once; before that, all is new and nothing is news
  bool mIsRemoteRound = false; // other data centres are probed in every second round
  bool mLeft = false;
  // Answers that depend on the view only, kept until it changes. At 370 members each costs about
  // 100 us, and a daemon needs them several times a second.
  mutable std::uint64_t mCachedChanges = 0;
  mutable std::vector<MemberRecord> mCachedRemoteLinks;
  mutable std::vector<MemberRecord> mCachedNeighbours;
  std::optional<Time> mNextWakeUp;
  Time mNextRound;
  Time mNextReconnect;
  Time mNextSync;
};

} // namespace masticstep
