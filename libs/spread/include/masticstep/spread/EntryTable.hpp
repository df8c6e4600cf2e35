#pragma once

#include "masticstep/spread/Entry.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace masticstep {

// Entries known to a daemon, by key hash. The version of a key never decreases: an entry is only
// removed at an age at which no daemon accepts it any more.
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
    Duplicate, // the same version and owner is already stored
    Outdated   // a newer version is stored, or the entry is expired or invalid
  };

  Outcome Merge(const Entry& aEntry, Time aNow);
  void RemoveExpired(Time aNow);
  const Row* Find(std::uint64_t aKeyHash) const;
  std::optional<Entry> Get(const EntryKey& aKey, Time aNow) const;
  std::vector<Entry> OfKind(EntryKind aKind, Time aNow) const;
  const std::unordered_map<std::uint64_t, Row>& Rows() const { return mRows; }
  static Entry ToEntry(const Row& aRow, Time aNow);

private:
  std::unordered_map<std::uint64_t, Row> mRows;
};

std::uint64_t OwnerHash(const HostName& aOwner);

// Returns the version with the given low 32 bits that is nearest to a known version.
std::uint64_t RestoreVersion(std::uint64_t aKnown, std::uint32_t aLow);

// Returns a checksum of the owner and the high half of the version for compact entries. A receiver
// whose stored owner differs, or whose version is too far away, detects the mismatch and requests
// the full entry.
std::uint16_t OwnerTag(std::uint64_t aOwnerHash, std::uint64_t aVersion);

} // namespace masticstep
