#include "masticstep/membership/Membership.hpp"

#include <algorithm>
#include <utility>

namespace masticstep {

namespace {

// Number of times each member piggybacks an update on probes. An urgent update to three random
// members misses about 1 in 20 members; four piggybacked copies from each member reduce that to
// about 1 in 1000, and the digest comparison repairs the rest. Twelve copies kept probes large for
// two minutes after a start of 370 daemons.
constexpr unsigned kGossipTransmissions = 4;

} // namespace

Membership::Membership(MembershipSettings aSettings)
  : mSettings(std::move(aSettings))
  , mRandom(mSettings.randomSeed)
{
}

Result<Membership, MembershipError> Membership::Create(MembershipSettings aSettings)
{
  const MemberRecord& self = aSettings.self;
  if (self.name.IsEmpty() || self.address.empty() || self.dataCentre.IsEmpty()) {
    return Failure(MembershipError{ "name, peer address and data centre must not be empty" });
  }
  aSettings.self.state = MemberState::Alive;
  return Membership(std::move(aSettings));
}

MembershipActions Membership::Start(Time aNow)
{
  MembershipActions actions;
  ApplyRecord(mSettings.self, aNow, actions);
  // The random phase spreads the probes of daemons that start at the same time.
  const auto randomPhase = [this](Duration aInterval) {
    return Microseconds(
      static_cast<std::int64_t>(mRandom.Below(static_cast<std::uint64_t>(aInterval.count()))));
  };
  mNextProbeRound = aNow + randomPhase(kProbeInterval);
  mNextReconnect = aNow + randomPhase(kReconnectInterval);
  mNextSync = aNow;
  for (const std::string& seed : mSettings.seeds) {
    if (seed != mSettings.self.address) {
      SendSync(seed, MembershipMessageKind::Sync, actions);
    }
  }
  return FinalizeActions(std::move(actions));
}

MembershipActions Membership::OnMessage(const std::string& aFrom, const MembershipMessage& aMessage,
                                        Time aNow)
{
  MembershipActions actions;
  ApplyRecords(aMessage.records, aNow, actions);
  switch (aMessage.kind) {
    case MembershipMessageKind::Probe: {
      MembershipMessage ack;
      ack.kind = MembershipMessageKind::Ack;
      ack.sequence = aMessage.sequence;
      Send(aFrom, std::move(ack), actions);
      CompareDigest(aFrom, aMessage.digest, aNow, actions);
      break;
    }
    case MembershipMessageKind::Ack:
      HandleAck(aMessage, actions);
      CompareDigest(aFrom, aMessage.digest, aNow, actions);
      break;
    case MembershipMessageKind::ProbeRequest:
      HandleProbeRequest(aFrom, aMessage, aNow, actions);
      break;
    case MembershipMessageKind::Sync:
      SendSync(aFrom, MembershipMessageKind::SyncReply, actions);
      break;
    case MembershipMessageKind::SyncReply:
    case MembershipMessageKind::Update:
      break;
  }
  mJoined = true;
  return FinalizeActions(std::move(actions));
}

MembershipActions Membership::OnTime(Time aNow)
{
  MembershipActions actions;
  if (mLeft) {
    return FinalizeActions(std::move(actions));
  }
  if (mNextWakeUp && aNow > *mNextWakeUp + kPauseThreshold) {
    ResetTimersAfterPause(aNow);
  }
  CheckProbeTimeouts(aNow, actions);
  ExpireSuspicions(aNow, actions);
  if (aNow >= mNextProbeRound) {
    StartProbeRound(aNow, actions);
    mNextProbeRound = std::max(mNextProbeRound + kProbeInterval, aNow);
  }
  if (aNow >= mNextReconnect) {
    TryReconnect(aNow, actions);
    mTable.RemoveDeparted(aNow - kDepartedRetention);
    const bool isAlone = mTable.Present().size() < 2;
    mNextReconnect = aNow + (isAlone ? kProbeInterval : kReconnectInterval);
  }
  return FinalizeActions(std::move(actions));
}

MembershipActions Membership::OnContacts(const std::vector<Contact>& aContacts, Time aNow)
{
  mContacts = aContacts;
  MembershipActions actions;
  if (mTable.Present().size() < 2) {
    TryReconnect(aNow, actions);
  }
  return FinalizeActions(std::move(actions));
}

MembershipActions Membership::Leave(Time aNow)
{
  MembershipActions actions;
  MemberRecord self = Self();
  self.state = MemberState::Left;
  mLeft = true;
  ApplyRecord(self, aNow, actions);
  std::vector<MemberRecord> targets = mTable.PresentIn(self.dataCentre);
  const std::vector<MemberRecord> remote = RemoteLinks();
  targets.insert(targets.end(), remote.begin(), remote.end());
  mUrgentUpdates.clear();
  for (const MemberRecord& member : targets) {
    MembershipMessage update;
    update.kind = MembershipMessageKind::Update;
    update.records = { self };
    Send(member.address, std::move(update), actions);
  }
  mPendingProbes.clear();
  mSuspicionDeadlines.clear();
  return FinalizeActions(std::move(actions));
}

void Membership::ApplyRecords(const std::vector<MemberRecord>& aRecords, Time aNow,
                              MembershipActions& aActions)
{
  for (const MemberRecord& record : aRecords) {
    ApplyRecord(record, aNow, aActions);
  }
}

void Membership::ApplyRecord(const MemberRecord& aRecord, Time aNow, MembershipActions& aActions)
{
  const bool isSelf = aRecord.name == mSettings.self.name;
  const MemberTable::Row* known = mTable.Find(aRecord.name);
  if (isSelf && known != nullptr && !mLeft) {
    RefuteRecord(aRecord, aNow, aActions);
    return;
  }
  MemberRecord record = aRecord;
  const bool isLocal = record.dataCentre == mSettings.self.dataCentre;
  // A daemon returning from a partition reports all others as dead. A member that is alive here is
  // only suspected on such a report, so that it can refute.
  if (record.state == MemberState::Dead && isLocal && known != nullptr &&
      known->record.state == MemberState::Alive) {
    record.state = MemberState::Suspect;
  }
  if (!mTable.Merge(record, aNow)) {
    return;
  }
  if (record.state == MemberState::Suspect && isLocal) {
    mSuspicionDeadlines[record.name] = aNow + kSuspicionTimeout;
  } else {
    mSuspicionDeadlines.erase(record.name);
  }
  aActions.changes.push_back(record);
  if (mJoined || isSelf) {
    mUrgentUpdates.push_back(record.name);
    mGossipQueue.push_front({ record.name, kGossipTransmissions });
  }
}

void Membership::RefuteRecord(const MemberRecord& aRecord, Time aNow, MembershipActions& aActions)
{
  MemberRecord self = Self();
  if (!Supersedes(aRecord, self)) {
    return;
  }
  self.incarnation = aRecord.incarnation + 1;
  mTable.Merge(self, aNow);
  aActions.changes.push_back(self);
  mUrgentUpdates.push_back(self.name);
  mGossipQueue.push_front({ self.name, kGossipTransmissions });
}

void Membership::CompareDigest(const std::string& aFrom, std::uint64_t aDigest, Time aNow,
                               MembershipActions& aActions)
{
  // Views are expected to differ while updates are being disseminated.
  if (aDigest == mTable.Digest() || !mGossipQueue.empty() || aNow < mNextSync || mLeft) {
    return;
  }
  mNextSync = aNow + kSyncInterval;
  SendSync(aFrom, MembershipMessageKind::Sync, aActions);
}

void Membership::Send(const std::string& aAddress, MembershipMessage aMessage,
                      MembershipActions& aActions)
{
  const bool carriesGossip = aMessage.kind == MembershipMessageKind::Probe ||
                             aMessage.kind == MembershipMessageKind::Ack ||
                             aMessage.kind == MembershipMessageKind::ProbeRequest;
  if (carriesGossip) {
    aMessage.digest = mTable.Digest();
    const std::vector<MemberRecord> updates = DequeueGossip();
    aMessage.records.insert(aMessage.records.end(), updates.begin(), updates.end());
  }
  aActions.sends.push_back({ aAddress, std::move(aMessage) });
}

void Membership::SendSync(const std::string& aAddress, MembershipMessageKind aKind,
                          MembershipActions& aActions)
{
  // 500 records stay well below the frame limit of 256 KiB.
  constexpr std::size_t kRecordsPerMessage = 500;
  const std::vector<MemberRecord> all = mTable.All();
  for (std::size_t i = 0; i < all.size(); i += kRecordsPerMessage) {
    const std::size_t end = std::min(all.size(), i + kRecordsPerMessage);
    MembershipMessage message;
    message.kind = i == 0 ? aKind : MembershipMessageKind::Update;
    message.records.assign(all.begin() + static_cast<std::ptrdiff_t>(i),
                           all.begin() + static_cast<std::ptrdiff_t>(end));
    Send(aAddress, std::move(message), aActions);
  }
}

void Membership::SendUrgentUpdates(MembershipActions& aActions)
{
  if (mUrgentUpdates.empty()) {
    return;
  }
  MembershipMessage update;
  update.kind = MembershipMessageKind::Update;
  std::vector<MemberRecord> targets = LocalPeers();
  for (std::size_t i = 0; i < targets.size(); ++i) {
    std::swap(targets[i], targets[i + mRandom.Below(targets.size() - i)]);
  }
  targets.resize(std::min(targets.size(), kIndirectProbes));
  const std::vector<MemberRecord> remote = RemoteLinks();
  targets.insert(targets.end(), remote.begin(), remote.end());
  std::sort(mUrgentUpdates.begin(), mUrgentUpdates.end());
  mUrgentUpdates.erase(std::unique(mUrgentUpdates.begin(), mUrgentUpdates.end()),
                       mUrgentUpdates.end());
  for (const HostName& name : mUrgentUpdates) {
    const MemberRecord& record = mTable.Find(name)->record;
    update.records.push_back(record);
    // The suspected member needs the update to refute it.
    if (record.state == MemberState::Suspect) {
      targets.push_back(record);
    }
  }
  mUrgentUpdates.clear();
  for (const MemberRecord& member : targets) {
    Send(member.address, update, aActions);
  }
}

std::vector<MemberRecord> Membership::DequeueGossip()
{
  constexpr std::size_t kRecordsPerProbe = 8;
  std::vector<MemberRecord> records;
  const std::size_t n = std::min(kRecordsPerProbe, mGossipQueue.size());
  for (std::size_t i = 0; i < n; ++i) {
    GossipUpdate update = mGossipQueue.front();
    mGossipQueue.pop_front();
    if (const MemberTable::Row* row = mTable.Find(update.name)) {
      records.push_back(row->record);
    }
    if (--update.transmissionsLeft > 0) {
      mGossipQueue.push_back(update);
    }
  }
  return records;
}

MembershipActions Membership::FinalizeActions(MembershipActions aActions)
{
  SendUrgentUpdates(aActions);
  if (mLeft) {
    mNextWakeUp.reset();
    return aActions;
  }
  Time next = std::min(mNextProbeRound, mNextReconnect);
  for (const std::pair<const std::uint64_t, PendingProbe>& item : mPendingProbes) {
    const PendingProbe& probe = item.second;
    next = std::min(next, probe.sentAt + kProbeTimeout +
                            (probe.directTimedOut ? kIndirectTimeout : Duration::zero()));
  }
  for (const std::pair<const HostName, Time>& suspect : mSuspicionDeadlines) {
    next = std::min(next, suspect.second);
  }
  mNextWakeUp = next;
  return aActions;
}

} // namespace masticstep
