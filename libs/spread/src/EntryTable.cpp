#include "masticstep/spread/EntryTable.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>
#include <utility>

namespace masticstep {

std::uint64_t OwnerHash(const HostName& aOwner)
{
  return Hash64(aOwner.Text());
}

std::uint64_t RestoreVersion(std::uint64_t aKnown, std::uint32_t aLow)
{
  const std::uint32_t difference = aLow - static_cast<std::uint32_t>(aKnown);
  return aKnown + static_cast<std::uint64_t>(
                    static_cast<std::int64_t>(static_cast<std::int32_t>(difference)));
}

std::uint16_t OwnerTag(std::uint64_t aOwnerHash, std::uint64_t aVersion)
{
  // Fibonacci hashing: multiplying by an odd constant carries every input bit into the top 16 bits.
  const std::uint64_t mixed = (aOwnerHash + (aVersion >> 32U)) * 0x9e3779b97f4a7c15U;
  return static_cast<std::uint16_t>(mixed >> 48U);
}

EntryTable::Outcome EntryTable::Merge(const Entry& aEntry, Time aNow)
{
  const EntryPolicy& policy = PolicyOf(aEntry.key.kind);
  if (!policy.isKnown || aEntry.age < Duration::zero() || aEntry.age >= policy.expireAfter) {
    return Outcome::Outdated;
  }
  Row row{ aEntry.key,     aEntry.owner,      OwnerHash(aEntry.owner),
           aEntry.version, aNow - aEntry.age, aEntry.value };
  const std::uint64_t hash = HashOf(aEntry.key);
  const std::unordered_map<std::uint64_t, Row>::iterator it = mRows.find(hash);
  if (it == mRows.end()) {
    mRows.emplace(hash, std::move(row));
    return Outcome::Stored;
  }
  const auto rank = [](const Row& aRow) { return std::tie(aRow.version, aRow.owner); };
  if (rank(row) == rank(it->second)) {
    return Outcome::Duplicate;
  }
  if (rank(row) < rank(it->second)) {
    return Outcome::Outdated;
  }
  it->second = std::move(row);
  return Outcome::Stored;
}

void EntryTable::RemoveExpired(Time aNow)
{
  std::erase_if(mRows, [aNow](const std::pair<const std::uint64_t, Row>& aItem) {
    return aNow - aItem.second.published >= PolicyOf(aItem.second.key.kind).expireAfter;
  });
}

const EntryTable::Row* EntryTable::Find(std::uint64_t aKeyHash) const
{
  const std::unordered_map<std::uint64_t, Row>::const_iterator it = mRows.find(aKeyHash);
  return it == mRows.end() ? nullptr : &it->second;
}

std::optional<Entry> EntryTable::Get(const EntryKey& aKey, Time aNow) const
{
  const Row* row = Find(HashOf(aKey));
  return row == nullptr ? std::nullopt : std::optional<Entry>(ToEntry(*row, aNow));
}

std::vector<Entry> EntryTable::OfKind(EntryKind aKind, Time aNow) const
{
  std::vector<Entry> entries;
  for (const std::pair<const std::uint64_t, Row>& item : mRows) {
    if (item.second.key.kind == aKind) {
      entries.push_back(ToEntry(item.second, aNow));
    }
  }
  std::sort(entries.begin(), entries.end());
  return entries;
}

Entry EntryTable::ToEntry(const Row& aRow, Time aNow)
{
  const Duration age = std::max(aNow - aRow.published, Duration::zero());
  return { aRow.key, aRow.owner, aRow.version, age, aRow.value };
}

} // namespace masticstep
