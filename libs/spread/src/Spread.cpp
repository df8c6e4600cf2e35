#include "masticstep/spread/Spread.hpp"

#include "NeighbourChoice.hpp"
#include "masticstep/base/Hash.hpp"
#include "masticstep/spread/EngineLoadValue.hpp"

#include <algorithm>
#include <utility>

namespace masticstep {

namespace {

// Half the frame limit, since the size of an entry is only estimated.
constexpr std::size_t kDeltaSizeLimitBytes = 128U * 1024U;
constexpr std::size_t kMaximumCompactValueBytes = 0xffff;
constexpr std::uint64_t kCompactVersionRange = 1ULL << 31U;
constexpr Duration kMaximumCompactAge = Milliseconds(0xffff);

} // namespace

Spread::Spread(SpreadSettings aSettings, Time aNow)
  : mSettings(std::move(aSettings))
{
  // A phase derived from the name spreads the messages of daemons that start at the same time.
  const std::uint64_t phase = Hash64(mSettings.self.Text());
  mNextDelta = aNow + Microseconds(static_cast<std::int64_t>(
                        phase % static_cast<std::uint64_t>(kDeltaInterval.count())));
  mNextDigest = aNow + Microseconds(static_cast<std::int64_t>(
                         phase % static_cast<std::uint64_t>(kDigestInterval.count())));
}

Result<Spread, SpreadError> Spread::Create(SpreadSettings aSettings, Time aNow)
{
  if (aSettings.self.IsEmpty() || aSettings.dataCentre.IsEmpty()) {
    return Failure(SpreadError{ "name and data centre must not be empty" });
  }
  return Spread(std::move(aSettings), aNow);
}

SpreadActions Spread::OnView(const std::vector<MemberRecord>& aMembers,
                             const std::vector<MemberRecord>& aRemote, Time aNow)
{
  std::map<std::string, bool> wanted; // address -> is remote
  for (const MemberRecord& member : ChooseNeighbours(aMembers, mSettings.self)) {
    wanted.emplace(member.address, false);
  }
  for (const MemberRecord& member : aRemote) {
    wanted.emplace(member.address, true);
    mRemoteAddresses.insert(member.address);
  }
  for (const MemberRecord& member : aMembers) {
    mRemoteAddresses.erase(member.address);
  }
  const std::size_t before = mNeighbours.size();
  std::erase_if(mNeighbours, [&wanted](const std::pair<const std::string, Neighbour>& aItem) {
    return !wanted.contains(aItem.first);
  });
  const bool hasRemovedNeighbour = mNeighbours.size() != before;
  std::vector<std::string> addresses;
  for (const std::pair<const std::string, bool>& item : wanted) {
    addresses.push_back(item.first);
    mNeighbours[item.first].isRemote = item.second;
  }
  mConfiguration.SetNeighbours(std::move(addresses));
  if (hasRemovedNeighbour) {
    // The removed neighbour may have been the path of some owners. Grafting the pruned links at
    // once is cheaper than waiting until entries of these owners are missing.
    for (std::pair<const std::string, Neighbour>& item : mNeighbours) {
      SpreadMessage graft;
      graft.kind = SpreadMessageKind::Graft;
      graft.hashes.assign(item.second.prunedLocally.begin(), item.second.prunedLocally.end());
      item.second.prunedLocally.clear();
      if (!graft.hashes.empty()) {
        item.second.prunesToSend.clear();
        mPendingGrafts.push_back({ item.first, std::move(graft) });
      }
    }
  }
  return FinalizeActions({}, aNow);
}

void Spread::OnLinkReset(const std::string& aAddress)
{
  const std::map<std::string, Neighbour>::iterator it = mNeighbours.find(aAddress);
  if (it == mNeighbours.end()) {
    return;
  }
  const bool isRemote = it->second.isRemote;
  it->second = Neighbour();
  it->second.isRemote = isRemote;
}

SpreadActions Spread::OnMessage(const std::string& aFrom, const SpreadMessage& aMessage, Time aNow)
{
  SpreadActions actions;
  MergeActions(mConfiguration.OnGeneration(aFrom, aMessage.generation, aNow), actions);
  switch (aMessage.kind) {
    case SpreadMessageKind::Delta:
      OnDelta(aFrom, aMessage, aNow, actions);
      break;
    case SpreadMessageKind::Exchange:
      OnExchange(aFrom, aMessage, aNow, actions);
      break;
    case SpreadMessageKind::Request:
      OnRequest(aFrom, aMessage, aNow, actions);
      break;
    case SpreadMessageKind::Digest:
      OnDigest(aFrom, aMessage, actions);
      break;
    case SpreadMessageKind::Graft:
      OnGraft(aFrom, aMessage);
      break;
  }
  return FinalizeActions(std::move(actions), aNow);
}

SpreadActions Spread::OnMessage(const std::string& aFrom, const ContentMessage& aMessage, Time aNow)
{
  SpreadActions actions;
  MergeActions(mConfiguration.OnMessage(aFrom, aMessage, aNow), actions);
  return FinalizeActions(std::move(actions), aNow);
}

SpreadActions Spread::OnTime(Time aNow)
{
  SpreadActions actions;
  MergeActions(mConfiguration.OnTime(aNow), actions);
  if (aNow >= mNextDelta) {
    mNextDelta = std::max(mNextDelta + kDeltaInterval, aNow);
    mIsRemoteDelta = !mIsRemoteDelta;
    bool hasExchanged = false;
    for (std::pair<const std::string, Neighbour>& item : mNeighbours) {
      // One exchange per interval: its entries need not be sent again by the next neighbour.
      if (item.second.needsExchange && !hasExchanged) {
        hasExchanged = true;
        item.second.needsExchange = false;
        SendExchange(item.first, actions);
      }
      // Periodic entries of other data centres may be seconds old, so half as many frames suffice.
      if (!item.second.isRemote || mIsRemoteDelta) {
        Flush(item.first, item.second, aNow, actions);
      }
    }
    GraftMissingOwners(aNow, actions);
  }
  if (aNow >= mNextDigest) {
    mNextDigest = std::max(mNextDigest + kDigestInterval, aNow);
    mTable.RemoveExpired(aNow);
    SendDigests(actions);
  }
  return FinalizeActions(std::move(actions), aNow);
}

std::optional<Time> Spread::NextWakeUp() const
{
  const Time next = std::min(mNextDelta, mNextDigest);
  return std::min(next, mConfiguration.NextWakeUp().value_or(next));
}

SpreadActions Spread::Publish(const EntryKey& aKey, std::string aValue, Time aNow)
{
  const EntryTable::Row* known = mTable.Find(HashOf(aKey));
  const bool isOwnLoad =
    known != nullptr && known->owner == mSettings.self && aKey.kind == EntryKind::EngineLoad;
  if (isOwnLoad && !ShouldPublishLoad(known->value, aValue, aNow - known->published)) {
    return {};
  }
  const std::uint64_t next = known == nullptr ? 0 : known->version + 1;
  SpreadActions actions;
  AcceptEntry(
    {}, { aKey, mSettings.self, std::max(next, mSettings.firstVersion), {}, std::move(aValue) },
    aNow, actions);
  return FinalizeActions(std::move(actions), aNow);
}

SpreadActions Spread::PublishConfiguration(ConfigurationBundle aBundle, Time aNow)
{
  SpreadActions actions;
  MergeActions(mConfiguration.Publish(std::move(aBundle), aNow), actions);
  return FinalizeActions(std::move(actions), aNow);
}

// Stores an entry received from a peer or, with an empty address, published by this daemon.
void Spread::AcceptEntry(const std::string& aFrom, const Entry& aEntry, Time aNow,
                         SpreadActions& aActions)
{
  if (IsRemote(aFrom) && !PolicyOf(aEntry.key.kind).isGlobal) {
    return;
  }
  const std::uint64_t hash = HashOf(aEntry.key);
  const EntryTable::Row* row = mTable.Find(hash);
  // An unchanged value that is republished is sent with the next delta, even if urgent.
  const bool hasNewValue = row == nullptr || row->value != aEntry.value;
  const EntryTable::Outcome outcome = mTable.Merge(aEntry, aNow);
  row = mTable.Find(hash);
  const std::map<std::string, Neighbour>::iterator from = mNeighbours.find(aFrom);
  if (from != mNeighbours.end()) {
    from->second.known[hash] = { aEntry.version,
                                 static_cast<std::uint32_t>(OwnerHash(aEntry.owner)) };
  }
  if (outcome == EntryTable::Outcome::Stored) {
    aActions.changes.push_back(aEntry);
    Enqueue(*row, hash, hasNewValue);
  } else if (outcome == EntryTable::Outcome::Duplicate) {
    if (from != mNeighbours.end()) {
      from->second.pending.erase(hash);
    }
    Prune(aFrom, *row);
  } else if (row != nullptr && from != mNeighbours.end()) {
    from->second.pending.insert(hash); // the peer has an older version
  }
}

void Spread::Enqueue(const EntryTable::Row& aRow, std::uint64_t aKeyHash, bool aHasNewValue)
{
  const EntryPolicy& policy = PolicyOf(aRow.key.kind);
  for (std::pair<const std::string, Neighbour>& item : mNeighbours) {
    Neighbour& neighbour = item.second;
    const std::unordered_map<std::uint64_t, KnownVersion>::iterator known =
      neighbour.known.find(aKeyHash);
    const bool isBehind = known == neighbour.known.end() || known->second.version < aRow.version ||
                          known->second.ownerHash != static_cast<std::uint32_t>(aRow.ownerHash);
    const bool isPruned = policy.isPeriodic && neighbour.prunedByPeer.contains(aRow.ownerHash);
    if (!isBehind || isPruned || (neighbour.isRemote && !policy.isGlobal)) {
      continue;
    }
    neighbour.pending.insert(aKeyHash);
    neighbour.hasUrgentPending = neighbour.hasUrgentPending || (policy.isUrgent && aHasNewValue);
  }
}

void Spread::Flush(const std::string& aAddress, Neighbour& aNeighbour, Time aNow,
                   SpreadActions& aActions)
{
  SpreadMessage message;
  message.hashes = std::exchange(aNeighbour.prunesToSend, {});
  std::size_t size = 0;
  for (const std::uint64_t hash : std::exchange(aNeighbour.pending, {})) {
    const EntryTable::Row* row = mTable.Find(hash);
    if (row == nullptr || !AppendEntry(aNeighbour, hash, aNow, message)) {
      continue;
    }
    size += row->value.size() + row->key.name.size() + 64;
    if (size > kDeltaSizeLimitBytes) {
      Send(aAddress, std::exchange(message, {}), aActions);
      size = 0;
    }
  }
  aNeighbour.hasUrgentPending = false;
  if (!message.compact.empty() || !message.full.empty() || !message.hashes.empty()) {
    Send(aAddress, std::move(message), aActions);
  }
}

// Returns false if the neighbour already has the version.
bool Spread::AppendEntry(Neighbour& aNeighbour, std::uint64_t aKeyHash, Time aNow,
                         SpreadMessage& aMessage) const
{
  const EntryTable::Row& row = *mTable.Find(aKeyHash);
  const std::uint32_t ownerHash = static_cast<std::uint32_t>(row.ownerHash);
  const std::unordered_map<std::uint64_t, KnownVersion>::iterator known =
    aNeighbour.known.find(aKeyHash);
  const bool isKnownOwner = known != aNeighbour.known.end() && known->second.ownerHash == ownerHash;
  if (isKnownOwner && known->second.version >= row.version) {
    return false;
  }
  const Entry entry = EntryTable::ToEntry(row, aNow);
  const bool isInCompactRange =
    isKnownOwner && row.version - known->second.version < kCompactVersionRange;
  if (isInCompactRange && entry.age <= kMaximumCompactAge &&
      row.value.size() <= kMaximumCompactValueBytes) {
    const std::uint16_t ageMs = static_cast<std::uint16_t>(entry.age / Milliseconds(1));
    aMessage.compact.push_back({ aKeyHash, static_cast<std::uint32_t>(row.version),
                                 OwnerTag(row.ownerHash, row.version), ageMs, row.value });
  } else {
    aMessage.full.push_back(entry);
  }
  aNeighbour.known[aKeyHash] = { row.version, ownerHash };
  return true;
}

void Spread::Send(const std::string& aAddress, SpreadMessage aMessage,
                  SpreadActions& aActions) const
{
  aMessage.generation = mConfiguration.Generation();
  aActions.sends.push_back({ aAddress, std::move(aMessage) });
}

void Spread::MergeActions(ConfigurationActions aFrom, SpreadActions& aInto) const
{
  std::move(aFrom.sends.begin(), aFrom.sends.end(), std::back_inserter(aInto.sends));
  if (aFrom.ready) {
    aInto.configuration = std::move(aFrom.ready);
  }
}

bool Spread::IsRemote(const std::string& aAddress) const
{
  return mRemoteAddresses.contains(aAddress);
}

SpreadActions Spread::FinalizeActions(SpreadActions aActions, Time aNow)
{
  for (OutgoingSpreadMessage& graft : std::exchange(mPendingGrafts, {})) {
    Send(graft.address, std::get<SpreadMessage>(std::move(graft.message)), aActions);
  }
  for (std::pair<const std::string, Neighbour>& item : mNeighbours) {
    if (item.second.hasUrgentPending) {
      Flush(item.first, item.second, aNow, aActions);
    }
  }
  return aActions;
}

} // namespace masticstep
