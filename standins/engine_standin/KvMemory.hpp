#pragma once

#include "engine_standin/CacheEventLog.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace masticstep::standins {

// KV memory in blocks. Blocks belong to one sequence, or to an entry of the prefix cache, which
// holds kBlocksPerHash of them and which sequences pin. Entries that no sequence pins are evicted,
// least recently used first, when a sequence needs memory or when they hold more blocks than the
// bound.
class KvMemory
{
public:
  KvMemory(std::size_t aBlocks, std::size_t aCacheBound, CacheEventLog& aLog);

  // Pins the longest cached prefix and returns its length in entries.
  std::size_t PinPrefix(const std::vector<std::uint64_t>& aHashes, Time aNow);
  // Returns how many leading entries are cached, without pinning them.
  std::size_t CachedPrefix(const std::vector<std::uint64_t>& aHashes) const;
  void Unpin(const std::vector<std::uint64_t>& aHashes, std::size_t aCount, Time aNow);
  // Takes blocks for a sequence; false and no change if they cannot be had.
  bool Take(std::size_t aCount, Time aNow);
  void Release(std::size_t aCount);
  // Moves blocks that a sequence has taken into the cache, pinned by the sequence, beginning at the
  // given entry of the prefix.
  void Store(const std::vector<std::uint64_t>& aHashes, std::size_t aFrom, Time aNow);
  // Stores entries from another engine; returns how many are cached afterwards.
  std::size_t Import(const std::vector<std::uint64_t>& aHashes, Time aNow);

  std::size_t Total() const { return mBlocks; }
  // Blocks of sequences and of pinned entries.
  std::size_t InUse() const;
  // Blocks of all entries.
  std::size_t Cached() const;

private:
  struct Entry
  {
    std::size_t pins = 0;
    std::list<std::uint64_t>::iterator place; // in mUnpinned, if pins is 0
  };

  void Pin(std::uint64_t aHash);
  void Add(std::uint64_t aHash, Time aNow);
  void EvictOne(Time aNow);
  void KeepBound(Time aNow);

  std::size_t mBlocks;
  std::size_t mCacheBound;
  CacheEventLog* mLog;
  std::size_t mTaken = 0;
  std::unordered_map<std::uint64_t, Entry> mEntries;
  std::list<std::uint64_t> mUnpinned; // least recently used first
};

} // namespace masticstep::standins
