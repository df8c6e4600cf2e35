#pragma once

#include "masticstep/spread/Entry.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace masticstep {

// All entries that a daemon knows, by key hash. A version never goes back: an entry is only dropped
// at an age at which no daemon accepts it any more.
class EntryTable
{
public:
  struct Row
  {
    EntryKey key;
    HostName owner;
    std::uint64_t ownerHash = 0;
    std::uint64_t version = 0;
    Time published;
    std::string value;
  };

  enum class Outcome : std::uint8_t
  {
    Stored,
    Known, // this very version is here already
    Older  // a newer version is here, or the entry is too old to be accepted
  };

  Outcome Merge(const Entry& aEntry, Time aNow);
  void DropOld(Time aNow);
  const Row* Find(std::uint64_t aKeyHash) const;
  std::optional<Entry> Get(const EntryKey& aKey, Time aNow) const;
  std::vector<Entry> OfKind(EntryKind aKind, Time aNow) const;
  const std::unordered_map<std::uint64_t, Row>& Rows() const { return mRows; }
  static Entry ToEntry(const Row& aRow, Time aNow);

private:
  std::unordered_map<std::uint64_t, Row> mRows;
};

// Hash of the owner's name.
std::uint64_t OwnerHash(const HostName& aOwner);

// Returns the version with the given low half that is nearest to a known version.
std::uint64_t RestoreVersion(std::uint64_t aKnown, std::uint32_t aLow);

// Stands for the owner and the high half of the version in compact entries, so that a receiver with
// another owner, or too far from the version, notices and asks for the whole entry.
std::uint16_t OwnerTag(std::uint64_t aOwnerHash, std::uint64_t aVersion);

} // namespace masticstep
