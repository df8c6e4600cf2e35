#include "masticstep/membership/Membership.hpp"

#include <algorithm>
#include <utility>

namespace masticstep {

namespace {

// Update to three random members reach all but about 1 in 20; four copies on probes of each member
// leave about 1 in 1000, and the digest finds those. Twelve copies kept probes large for two
// minutes after a start of 370 daemons.
constexpr unsigned kRumourSends = 4;

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
  Learn(mSettings.self, aNow, actions);
  // Daemons that start together must not probe in step.
  const auto phase = [this](Duration aInterval) {
    return Microseconds(
      static_cast<std::int64_t>(mRandom.Below(static_cast<std::uint64_t>(aInterval.count()))));
  };
  mNextRound = aNow + phase(kProbeInterval);
  mNextReconnect = aNow + phase(kReconnectInterval);
  mNextSync = aNow;
  for (const std::string& seed : mSettings.seeds) {
    if (seed != mSettings.self.address) {
      SendSync(seed, MembershipMessageKind::Sync, actions);
    }
  }
  return Finish(std::move(actions));
}

MembershipActions Membership::OnMessage(const std::string& aFrom, const MembershipMessage& aMessage,
                                        Time aNow)
{
  MembershipActions actions;
  MergeAll(aMessage.records, aNow, actions);
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
  return Finish(std::move(actions));
}

MembershipActions Membership::OnTime(Time aNow)
{
  MembershipActions actions;
  if (mLeft) {
    return Finish(std::move(actions));
  }
  if (mNextWakeUp && aNow > *mNextWakeUp + kPauseThreshold) {
    AfterPause(aNow);
  }
  CheckPending(aNow, actions);
  CheckSuspects(aNow, actions);
  if (aNow >= mNextRound) {
    ProbeRound(aNow, actions);
    mNextRound = std::max(mNextRound + kProbeInterval, aNow);
  }
  if (aNow >= mNextReconnect) {
    Reconnect(aNow, actions);
    mTable.Forget(aNow - kForgetTime);
    const bool alone = mTable.Present().size() < 2;
    mNextReconnect = aNow + (alone ? kProbeInterval : kReconnectInterval);
  }
  return Finish(std::move(actions));
}

MembershipActions Membership::OnContacts(const std::vector<Contact>& aContacts, Time aNow)
{
  mContacts = aContacts;
  MembershipActions actions;
  if (mTable.Present().size() < 2) {
    Reconnect(aNow, actions);
  }
  return Finish(std::move(actions));
}

MembershipActions Membership::Leave(Time aNow)
{
  MembershipActions actions;
  MemberRecord self = Self();
  self.state = MemberState::Left;
  mLeft = true;
  Learn(self, aNow, actions);
  std::vector<MemberRecord> targets = mTable.PresentIn(self.dataCentre);
  const std::vector<MemberRecord> remote = RemoteLinks();
  targets.insert(targets.end(), remote.begin(), remote.end());
  mUrgent.clear();
  for (const MemberRecord& member : targets) {
    MembershipMessage news;
    news.kind = MembershipMessageKind::Update;
    news.records = { self };
    Send(member.address, std::move(news), actions);
  }
  mPending.clear();
  mSuspects.clear();
  return Finish(std::move(actions));
}

void Membership::MergeAll(const std::vector<MemberRecord>& aRecords, Time aNow,
                          MembershipActions& aActions)
{
  for (const MemberRecord& record : aRecords) {
    Learn(record, aNow, aActions);
  }
}

void Membership::Learn(const MemberRecord& aRecord, Time aNow, MembershipActions& aActions)
{
  const bool isSelf = aRecord.name == mSettings.self.name;
  const MemberTable::Row* known = mTable.Find(aRecord.name);
  if (isSelf && known != nullptr && !mLeft) {
    RefuteSelf(aRecord, aNow, aActions);
    return;
  }
  MemberRecord record = aRecord;
  const bool isOwn = record.dataCentre == mSettings.self.dataCentre;
  // A daemon that was cut off comes back with everyone removed. Its word alone must not remove a
  // member that is well here, so the member is asked first.
  if (record.state == MemberState::Dead && isOwn && known != nullptr &&
      known->record.state == MemberState::Alive) {
    record.state = MemberState::Suspect;
  }
  if (!mTable.Merge(record, aNow)) {
    return;
  }
  if (record.state == MemberState::Suspect && isOwn) {
    mSuspects[record.name] = aNow + kSuspicionTime;
  } else {
    mSuspects.erase(record.name);
  }
  aActions.changes.push_back(record);
  if (mJoined || isSelf) {
    mUrgent.push_back(record.name);
    mRumours.push_front({ record.name, kRumourSends });
  }
}

void Membership::RefuteSelf(const MemberRecord& aRecord, Time aNow, MembershipActions& aActions)
{
  MemberRecord self = Self();
  if (!Supersedes(aRecord, self)) {
    return;
  }
  self.incarnation = aRecord.incarnation + 1;
  mTable.Merge(self, aNow);
  aActions.changes.push_back(self);
  mUrgent.push_back(self.name);
  mRumours.push_front({ self.name, kRumourSends });
}

void Membership::CompareDigest(const std::string& aFrom, std::uint64_t aDigest, Time aNow,
                               MembershipActions& aActions)
{
  // While news are under way, views differ for a moment in any case.
  if (aDigest == mTable.Digest() || !mRumours.empty() || aNow < mNextSync || mLeft) {
    return;
  }
  mNextSync = aNow + kSyncInterval;
  SendSync(aFrom, MembershipMessageKind::Sync, aActions);
}

void Membership::Send(const std::string& aAddress, MembershipMessage aMessage,
                      MembershipActions& aActions)
{
  const bool isProbe = aMessage.kind == MembershipMessageKind::Probe ||
                       aMessage.kind == MembershipMessageKind::Ack ||
                       aMessage.kind == MembershipMessageKind::ProbeRequest;
  if (isProbe) {
    aMessage.digest = mTable.Digest();
    const std::vector<MemberRecord> rumours = TakeRumours();
    aMessage.records.insert(aMessage.records.end(), rumours.begin(), rumours.end());
  }
  aActions.sends.push_back({ aAddress, std::move(aMessage) });
}

void Membership::SendSync(const std::string& aAddress, MembershipMessageKind aKind,
                          MembershipActions& aActions)
{
  // 500 records stay far below the frame limit of 256 KiB.
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

void Membership::SendNews(MembershipActions& aActions)
{
  if (mUrgent.empty()) {
    return;
  }
  MembershipMessage news;
  news.kind = MembershipMessageKind::Update;
  std::vector<MemberRecord> targets = Neighbours();
  for (std::size_t i = 0; i < targets.size(); ++i) {
    std::swap(targets[i], targets[i + mRandom.Below(targets.size() - i)]);
  }
  targets.resize(std::min(targets.size(), kIndirectProbes));
  const std::vector<MemberRecord> remote = RemoteLinks();
  targets.insert(targets.end(), remote.begin(), remote.end());
  std::sort(mUrgent.begin(), mUrgent.end());
  mUrgent.erase(std::unique(mUrgent.begin(), mUrgent.end()), mUrgent.end());
  for (const HostName& name : mUrgent) {
    const MemberRecord& record = mTable.Find(name)->record;
    news.records.push_back(record);
    // A suspected member must hear of it, so that it can refute.
    if (record.state == MemberState::Suspect) {
      targets.push_back(record);
    }
  }
  mUrgent.clear();
  for (const MemberRecord& member : targets) {
    Send(member.address, news, aActions);
  }
}

std::vector<MemberRecord> Membership::TakeRumours()
{
  constexpr std::size_t kRecordsPerProbe = 8;
  std::vector<MemberRecord> records;
  const std::size_t n = std::min(kRecordsPerProbe, mRumours.size());
  for (std::size_t i = 0; i < n; ++i) {
    Rumour rumour = mRumours.front();
    mRumours.pop_front();
    if (const MemberTable::Row* row = mTable.Find(rumour.name)) {
      records.push_back(row->record);
    }
    if (--rumour.sendsLeft > 0) {
      mRumours.push_back(rumour);
    }
  }
  return records;
}

MembershipActions Membership::Finish(MembershipActions aActions)
{
  SendNews(aActions);
  if (mLeft) {
    mNextWakeUp.reset();
    return aActions;
  }
  Time next = std::min(mNextRound, mNextReconnect);
  for (const std::pair<const std::uint64_t, PendingProbe>& item : mPending) {
    const PendingProbe& probe = item.second;
    next = std::min(next, probe.sent + kProbeTimeout +
                            (probe.indirect ? kIndirectTimeout : Duration::zero()));
  }
  for (const std::pair<const HostName, Time>& suspect : mSuspects) {
    next = std::min(next, suspect.second);
  }
  mNextWakeUp = next;
  return aActions;
}

} // namespace masticstep
