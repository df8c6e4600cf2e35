// Failure detection of Membership: probes, suspicion and reconnection.
#include "RemoteLinks.hpp"
#include "masticstep/membership/Membership.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace masticstep {

void Membership::StartProbeRound(Time aNow, MembershipActions& aActions)
{
  const std::optional<MemberRecord> successor = Successor();
  const std::optional<MemberRecord> target = NextRandomTarget();
  if (successor) {
    SendProbe(successor->name, successor->address, aNow, aActions);
  }
  if (target && target->name != successor->name) {
    SendProbe(target->name, target->address, aNow, aActions);
  }
  // Probes to other data centres only carry updates and the digest; an unanswered one has no
  // effect.
  mIsRemoteRound = !mIsRemoteRound;
  if (mIsRemoteRound) {
    for (const MemberRecord& remote : RemoteLinks()) {
      SendProbe(remote.name, remote.address, aNow, aActions);
    }
  }
}

MembershipActions Membership::OnLinkFailed(const std::string& aAddress, Time aNow)
{
  MembershipActions actions;
  const MemberTable::Row* row = mTable.FindByAddress(aAddress);
  const bool isBeingProbed =
    std::any_of(mPendingProbes.begin(), mPendingProbes.end(),
                [&aAddress](const std::pair<const std::uint64_t, PendingProbe>& aPending) {
                  return aPending.second.address == aAddress;
                });
  const bool isLocal = row != nullptr && row->record.dataCentre == mSettings.self.dataCentre &&
                       row->record.name != mSettings.self.name;
  if (isLocal && !isBeingProbed && !mLeft) {
    SendProbe(row->record.name, aAddress, aNow, actions);
  }
  return FinalizeActions(std::move(actions));
}

void Membership::SendProbe(const HostName& aName, const std::string& aAddress, Time aNow,
                           MembershipActions& aActions)
{
  MembershipMessage probe;
  probe.kind = MembershipMessageKind::Probe;
  probe.sequence = ++mLastSequence;
  mPendingProbes[probe.sequence] = { aName, aAddress, aNow, false };
  const MemberTable::Row* row = mTable.Find(aName);
  if (row != nullptr && row->record.state != MemberState::Alive) {
    probe.records = { Self(), row->record };
  }
  Send(aAddress, std::move(probe), aActions);
}

void Membership::HandleProbeRequest(const std::string& aFrom, const MembershipMessage& aMessage,
                                    Time aNow, MembershipActions& aActions)
{
  MembershipMessage probe;
  probe.kind = MembershipMessageKind::Probe;
  probe.sequence = ++mLastSequence;
  mRelayedProbes[probe.sequence] = { aFrom, aMessage.sequence, aNow };
  Send(aMessage.target, std::move(probe), aActions);
}

void Membership::HandleAck(const MembershipMessage& aMessage, MembershipActions& aActions)
{
  mPendingProbes.erase(aMessage.sequence);
  const std::map<std::uint64_t, RelayedProbe>::iterator it = mRelayedProbes.find(aMessage.sequence);
  if (it == mRelayedProbes.end()) {
    return;
  }
  MembershipMessage ack;
  ack.kind = MembershipMessageKind::Ack;
  ack.sequence = it->second.originSequence;
  Send(it->second.origin, std::move(ack), aActions);
  mRelayedProbes.erase(it);
}

void Membership::CheckProbeTimeouts(Time aNow, MembershipActions& aActions)
{
  std::vector<HostName> failed;
  for (std::map<std::uint64_t, PendingProbe>::iterator it = mPendingProbes.begin();
       it != mPendingProbes.end();) {
    PendingProbe& probe = it->second;
    const MemberTable::Row* row = mTable.Find(probe.target);
    const bool isLocal = row != nullptr && row->record.dataCentre == mSettings.self.dataCentre &&
                         IsPresent(row->record.state);
    if (!probe.directTimedOut && aNow >= probe.sentAt + kProbeTimeout) {
      probe.directTimedOut = true;
      if (isLocal) {
        SendIndirectProbes(it->first, probe, aActions);
      }
    }
    if (aNow < probe.sentAt + kProbeTimeout + kIndirectTimeout) {
      ++it;
      continue;
    }
    if (isLocal) {
      failed.push_back(probe.target);
    }
    it = mPendingProbes.erase(it);
  }
  for (const HostName& name : failed) {
    MarkSuspect(name, aNow, aActions);
  }
  std::erase_if(mRelayedProbes, [aNow](const std::pair<const std::uint64_t, RelayedProbe>& aItem) {
    return aNow >= aItem.second.sentAt + kProbeInterval;
  });
}

void Membership::SendIndirectProbes(std::uint64_t aSequence, const PendingProbe& aProbe,
                                    MembershipActions& aActions)
{
  std::vector<MemberRecord> others = LocalPeers();
  std::erase_if(others, [&aProbe](const MemberRecord& aMember) {
    return aMember.name == aProbe.target || aMember.state != MemberState::Alive;
  });
  const std::size_t n = std::min(kIndirectProbes, others.size());
  for (std::size_t i = 0; i < n; ++i) {
    std::swap(others[i], others[i + mRandom.Below(others.size() - i)]);
    MembershipMessage request;
    request.kind = MembershipMessageKind::ProbeRequest;
    request.sequence = aSequence;
    request.target = aProbe.address;
    Send(others[i].address, std::move(request), aActions);
  }
}

void Membership::MarkSuspect(const HostName& aName, Time aNow, MembershipActions& aActions)
{
  MemberRecord record = mTable.Find(aName)->record;
  if (record.state == MemberState::Alive) {
    record.state = MemberState::Suspect;
    ApplyRecord(record, aNow, aActions);
  }
}

void Membership::ExpireSuspicions(Time aNow, MembershipActions& aActions)
{
  std::vector<HostName> expired;
  for (const std::pair<const HostName, Time>& suspect : mSuspicionDeadlines) {
    if (aNow >= suspect.second) {
      expired.push_back(suspect.first);
    }
  }
  for (const HostName& name : expired) {
    MemberRecord record = mTable.Find(name)->record;
    record.state = MemberState::Dead;
    ApplyRecord(record, aNow, aActions);
  }
}

void Membership::ResetTimersAfterPause(Time aNow)
{
  mPendingProbes.clear();
  mRelayedProbes.clear();
  for (std::pair<const HostName, Time>& suspect : mSuspicionDeadlines) {
    suspect.second = std::max(suspect.second, aNow + kSuspicionTimeout);
  }
}

void Membership::TryReconnect(Time aNow, MembershipActions& aActions)
{
  const std::vector<std::string> addresses = ReconnectAddresses();
  if (addresses.empty()) {
    return;
  }
  const std::string& address = addresses[mRandom.Below(addresses.size())];
  if (mTable.Present().size() < 2) {
    SendSync(address, MembershipMessageKind::Sync, aActions);
    return;
  }
  MembershipMessage probe;
  probe.kind = MembershipMessageKind::Probe;
  probe.sequence = ++mLastSequence;
  probe.records = { Self() };
  for (const std::pair<const HostName, MemberTable::Row>& row : mTable.Rows()) {
    if (row.second.record.address == address && row.second.record.state == MemberState::Dead) {
      probe.records.push_back(row.second.record);
    }
  }
  mPendingProbes[probe.sequence] = { HostName(), address, aNow, false };
  Send(address, std::move(probe), aActions);
}

std::vector<std::string> Membership::ReconnectAddresses() const
{
  std::set<std::string> present;
  std::set<std::string> wanted(mSettings.seeds.begin(), mSettings.seeds.end());
  for (const std::pair<const HostName, MemberTable::Row>& row : mTable.Rows()) {
    const MemberRecord& record = row.second.record;
    if (IsPresent(record.state)) {
      present.insert(record.address);
    } else if (record.state == MemberState::Dead) {
      wanted.insert(record.address);
    }
  }
  for (const Contact& contact : mContacts) {
    wanted.insert(contact.address);
  }
  present.insert(mSettings.self.address);
  std::vector<std::string> addresses;
  std::set_difference(wanted.begin(), wanted.end(), present.begin(), present.end(),
                      std::back_inserter(addresses));
  return addresses;
}

const std::vector<MemberRecord>& Membership::LocalPeers() const
{
  RefreshCache();
  return mCachedLocalPeers;
}

const std::vector<MemberRecord>& Membership::RemoteLinks() const
{
  RefreshCache();
  return mCachedRemoteLinks;
}

void Membership::RefreshCache() const
{
  if (std::exchange(mCacheTableVersion, mTable.ChangeCount()) == mTable.ChangeCount()) {
    return;
  }
  mCachedLocalPeers = mTable.PresentIn(mSettings.self.dataCentre);
  std::erase_if(mCachedLocalPeers, [this](const MemberRecord& aMember) {
    return aMember.name == mSettings.self.name;
  });
  mCachedRemoteLinks = ChooseRemoteLinks(mTable.Present(), mSettings.self);
}

std::optional<MemberRecord> Membership::Successor() const
{
  const std::vector<MemberRecord>& members = LocalPeers();
  if (members.empty()) {
    return std::nullopt;
  }
  for (const MemberRecord& member : members) {
    if (member.name > mSettings.self.name) {
      return member;
    }
  }
  return members.front();
}

std::optional<MemberRecord> Membership::NextRandomTarget()
{
  const std::vector<MemberRecord>& members = LocalPeers();
  if (members.empty()) {
    return std::nullopt;
  }
  // Probing in shuffled order bounds the time until each member is probed, as in SWIM.
  while (!mProbeOrder.empty()) {
    const HostName name = mProbeOrder.back();
    mProbeOrder.pop_back();
    const MemberTable::Row* row = mTable.Find(name);
    if (row != nullptr && IsPresent(row->record.state)) {
      return row->record;
    }
  }
  for (const MemberRecord& member : members) {
    mProbeOrder.push_back(member.name);
  }
  for (std::size_t i = 0; i + 1 < mProbeOrder.size(); ++i) {
    std::swap(mProbeOrder[i], mProbeOrder[i + mRandom.Below(mProbeOrder.size() - i)]);
  }
  const HostName name = mProbeOrder.back();
  mProbeOrder.pop_back();
  return mTable.Find(name)->record;
}

} // namespace masticstep
