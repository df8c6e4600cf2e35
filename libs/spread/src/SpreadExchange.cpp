// Anti-entropy of Spread: answers to peers, digests, prunes and grafts.
#include "masticstep/base/Hash.hpp"
#include "masticstep/spread/Spread.hpp"

#include <algorithm>
#include <utility>

namespace masticstep {

namespace {

// 8,192 versions of 16 bytes take half a frame.
constexpr std::size_t kVersionsPerMessage = 8192;
// Estimated encoded size of an entry without its name and value.
constexpr std::size_t kEntryOverheadBytes = 64;
constexpr std::size_t kDeltaSizeLimitBytes = 128U * 1024U;

} // namespace

void Spread::OnDelta(const std::string& aFrom, const SpreadMessage& aMessage, Time aNow,
                     SpreadActions& aActions)
{
  for (const Entry& entry : aMessage.full) {
    AcceptEntry(aFrom, entry, aNow, aActions);
  }
  SpreadMessage request;
  request.kind = SpreadMessageKind::Request;
  for (const CompactEntry& compact : aMessage.compact) {
    const EntryTable::Row* row = mTable.Find(compact.keyHash);
    if (row == nullptr) {
      request.hashes.push_back(compact.keyHash);
      continue;
    }
    const std::uint64_t version = RestoreVersion(row->version, compact.versionLow);
    if (OwnerTag(row->ownerHash, version) == compact.ownerTag) {
      AcceptEntry(aFrom,
                  { row->key, row->owner, version, Milliseconds(compact.ageMs), compact.value },
                  aNow, aActions);
    } else {
      request.hashes.push_back(compact.keyHash);
    }
  }
  if (!request.hashes.empty()) {
    Send(aFrom, std::move(request), aActions);
  }
  const std::map<std::string, Neighbour>::iterator from = mNeighbours.find(aFrom);
  if (from != mNeighbours.end()) {
    from->second.prunedByPeer.insert(aMessage.hashes.begin(), aMessage.hashes.end());
  }
}

void Spread::SendExchange(const std::string& aAddress, SpreadActions& aActions) const
{
  const bool isRemote = IsRemote(aAddress);
  SpreadMessage message;
  message.kind = SpreadMessageKind::Exchange;
  for (const std::pair<const std::uint64_t, EntryTable::Row>& item : mTable.Rows()) {
    const bool fits = message.versions.size() < kVersionsPerMessage;
    if (fits && (!isRemote || PolicyOf(item.second.key.kind).isGlobal)) {
      message.versions.push_back(
        { item.first, item.second.version, static_cast<std::uint32_t>(item.second.ownerHash) });
    }
  }
  Send(aAddress, std::move(message), aActions);
}

void Spread::OnExchange(const std::string& aFrom, const SpreadMessage& aMessage, Time aNow,
                        SpreadActions& aActions)
{
  // If the versions are equal and the owners differ, both entries are exchanged and both sides keep
  // the one with the greater owner.
  const auto isSame = [](const KeyVersion& aItem, const EntryTable::Row& aRow) {
    return aItem.version == aRow.version &&
           aItem.ownerHash == static_cast<std::uint32_t>(aRow.ownerHash);
  };
  std::unordered_map<std::uint64_t, KeyVersion> peerVersions;
  SpreadMessage request;
  request.kind = SpreadMessageKind::Request;
  for (const KeyVersion& item : aMessage.versions) {
    peerVersions[item.keyHash] = item;
    const EntryTable::Row* row = mTable.Find(item.keyHash);
    if (row == nullptr || (row->version <= item.version && !isSame(item, *row))) {
      request.hashes.push_back(item.keyHash);
    }
  }
  std::vector<std::uint64_t> newer;
  for (const std::pair<const std::uint64_t, EntryTable::Row>& item : mTable.Rows()) {
    const std::unordered_map<std::uint64_t, KeyVersion>::iterator it =
      peerVersions.find(item.first);
    if (it == peerVersions.end() ||
        (it->second.version <= item.second.version && !isSame(it->second, item.second))) {
      newer.push_back(item.first);
    }
  }
  SendFullEntries(aFrom, newer, aNow, aActions);
  if (!request.hashes.empty()) {
    Send(aFrom, std::move(request), aActions);
  }
  const std::map<std::string, Neighbour>::iterator from = mNeighbours.find(aFrom);
  if (from != mNeighbours.end()) {
    from->second.needsExchange = false; // this exchange covered both directions
  }
}

void Spread::OnRequest(const std::string& aFrom, const SpreadMessage& aMessage, Time aNow,
                       SpreadActions& aActions)
{
  SendFullEntries(aFrom, aMessage.hashes, aNow, aActions);
}

void Spread::SendFullEntries(const std::string& aAddress, const std::vector<std::uint64_t>& aHashes,
                             Time aNow, SpreadActions& aActions)
{
  const bool isRemote = IsRemote(aAddress);
  const std::map<std::string, Neighbour>::iterator to = mNeighbours.find(aAddress);
  SpreadMessage message;
  std::size_t size = 0;
  for (const std::uint64_t hash : aHashes) {
    const EntryTable::Row* row = mTable.Find(hash);
    if (row == nullptr || (isRemote && !PolicyOf(row->key.kind).isGlobal)) {
      continue;
    }
    if (to != mNeighbours.end()) {
      to->second.known[hash] = { row->version, static_cast<std::uint32_t>(row->ownerHash) };
      to->second.pending.erase(hash);
    }
    message.full.push_back(EntryTable::ToEntry(*row, aNow));
    size += row->value.size() + row->key.name.size() + kEntryOverheadBytes;
    if (size > kDeltaSizeLimitBytes) {
      Send(aAddress, std::exchange(message, {}), aActions);
      size = 0;
    }
  }
  if (!message.full.empty()) {
    Send(aAddress, std::move(message), aActions);
  }
}

void Spread::SendDigests(SpreadActions& aActions)
{
  for (std::pair<const std::string, Neighbour>& item : mNeighbours) {
    std::erase_if(item.second.known,
                  [this](const std::pair<const std::uint64_t, KnownVersion>& aKnown) {
                    return mTable.Find(aKnown.first) == nullptr; // expired
                  });
    SpreadMessage message;
    message.kind = SpreadMessageKind::Digest;
    message.hashes = ComputeDigests(item.second.isRemote);
    Send(item.first, std::move(message), aActions);
  }
}

void Spread::OnDigest(const std::string& aFrom, const SpreadMessage& aMessage,
                      SpreadActions& aActions)
{
  if (aMessage.hashes != ComputeDigests(IsRemote(aFrom))) {
    SendExchange(aFrom, aActions);
  }
}

// Versions of periodic entries differ most of the time, so only their keys are compared; a missing
// update of a known entry is detected by its age.
std::vector<std::uint64_t> Spread::ComputeDigests(bool aIsRemote) const
{
  std::uint64_t lasting = 0;
  std::uint64_t keys = 0;
  for (const std::pair<const std::uint64_t, EntryTable::Row>& item : mTable.Rows()) {
    const EntryPolicy& policy = PolicyOf(item.second.key.kind);
    if (aIsRemote && !policy.isGlobal) {
      continue;
    }
    if (policy.isPeriodic) {
      keys += item.first;
    } else {
      lasting += Hash64(item.second.owner.Text(), item.first + item.second.version);
    }
  }
  return { lasting, keys };
}

// Prunes the owner on the link of a duplicate, so that only the faster path stays in use.
void Spread::Prune(const std::string& aFrom, const EntryTable::Row& aRow)
{
  const std::map<std::string, Neighbour>::iterator from = mNeighbours.find(aFrom);
  if (!mSettings.isPruning || from == mNeighbours.end() || !PolicyOf(aRow.key.kind).isPeriodic) {
    return;
  }
  std::size_t unprunedNeighbours = 0;
  for (const std::pair<const std::string, Neighbour>& item : mNeighbours) {
    unprunedNeighbours += item.second.prunedLocally.contains(aRow.ownerHash) ? 0U : 1U;
  }
  // The last unpruned link is kept.
  if (unprunedNeighbours > 1 && from->second.prunedLocally.insert(aRow.ownerHash).second) {
    from->second.prunesToSend.push_back(aRow.ownerHash);
  }
}

void Spread::GraftMissingOwners(Time aNow, SpreadActions& aActions)
{
  std::set<std::uint64_t> owners;
  for (const std::pair<const std::uint64_t, EntryTable::Row>& item : mTable.Rows()) {
    const EntryTable::Row& row = item.second;
    const EntryPolicy& policy = PolicyOf(row.key.kind);
    const Duration age = aNow - row.published;
    // An entry that is no longer published is requested for a limited time and then left to expire.
    const bool isMissing = policy.isPeriodic && age > policy.missingAfter &&
                           age < policy.missingAfter + 2 * kGraftInterval;
    if (isMissing && row.owner != mSettings.self && aNow >= mNextGraft[row.ownerHash]) {
      owners.insert(row.ownerHash);
    }
  }
  if (owners.empty()) {
    return;
  }
  for (const std::uint64_t owner : owners) {
    mNextGraft[owner] = aNow + kGraftInterval;
  }
  for (std::pair<const std::string, Neighbour>& item : mNeighbours) {
    std::erase_if(item.second.prunedLocally,
                  [&owners](std::uint64_t aOwner) { return owners.contains(aOwner); });
    std::erase_if(item.second.prunesToSend,
                  [&owners](std::uint64_t aOwner) { return owners.contains(aOwner); });
    SpreadMessage graft;
    graft.kind = SpreadMessageKind::Graft;
    graft.hashes.assign(owners.begin(), owners.end());
    Send(item.first, std::move(graft), aActions);
  }
}

void Spread::OnGraft(const std::string& aFrom, const SpreadMessage& aMessage)
{
  const std::map<std::string, Neighbour>::iterator from = mNeighbours.find(aFrom);
  if (from == mNeighbours.end()) {
    return;
  }
  const std::set<std::uint64_t> owners(aMessage.hashes.begin(), aMessage.hashes.end());
  for (const std::uint64_t owner : owners) {
    from->second.prunedByPeer.erase(owner);
  }
  for (const std::pair<const std::uint64_t, EntryTable::Row>& item : mTable.Rows()) {
    const EntryPolicy& policy = PolicyOf(item.second.key.kind);
    if (owners.contains(item.second.ownerHash) && policy.isPeriodic &&
        (policy.isGlobal || !from->second.isRemote)) {
      from->second.pending.insert(item.first); // not sent if the peer already has it
    }
  }
}

} // namespace masticstep
