#pragma once

#include "engine_standin/CacheEventLog.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace masticstep::standins {

// KV memory in blocks. A block belongs to one sequence or to a prefix cache entry. An entry has
// kBlocksPerHash blocks and can be pinned by several sequences. Unpinned entries are evicted, least
// recently used first, when a sequence needs memory or when their blocks exceed the limit.
class KvMemory
{
public:
  KvMemory(std::size_t aBlocks, std::size_t aCachedBlockLimit, CacheEventLog& aLog);

  // Pins the longest cached prefix and returns its length in entries.
  std::size_t PinPrefix(const std::vector<std::uint64_t>& aHashes, Time aNow);
  // Returns the length of the longest cached prefix in entries, without pinning it.
  std::size_t CachedPrefix(const std::vector<std::uint64_t>& aHashes) const;
  void Unpin(const std::vector<std::uint64_t>& aHashes, std::size_t aCount, Time aNow);
  // Allocates blocks for a sequence, evicting unpinned entries as needed. Returns false and changes
  // nothing if there is not enough memory.
  bool Allocate(std::size_t aCount, Time aNow);
  void Release(std::size_t aCount);
  // Moves blocks of a sequence into the cache, starting at entry aFrom of its prefix, and pins the
  // entries for the sequence.
  void Store(const std::vector<std::uint64_t>& aHashes, std::size_t aFrom, Time aNow);
  // Adds entries of another engine, unpinned, as far as memory allows. Returns the length of the
  // cached prefix in entries.
  std::size_t Import(const std::vector<std::uint64_t>& aHashes, Time aNow);

  std::size_t Total() const { return mBlocks; }
  // Blocks of sequences and of pinned entries.
  std::size_t InUse() const;
  // Blocks of all prefix cache entries, pinned or not.
  std::size_t Cached() const;

private:
  struct Entry
  {
    std::size_t pinCount = 0;
    std::list<std::uint64_t>::iterator lruPosition; // position in mUnpinned; valid if pinCount is 0
  };

  void Pin(std::uint64_t aHash);
  void Add(std::uint64_t aHash, Time aNow);
  void EvictOne(Time aNow);
  void EvictToLimit(Time aNow);

  std::size_t mBlocks;
  std::size_t mCachedBlockLimit;
  CacheEventLog* mLog;
  std::size_t mAllocated = 0;
  std::unordered_map<std::uint64_t, Entry> mEntries;
  std::list<std::uint64_t> mUnpinned; // least recently used first
};

} // namespace masticstep::standins
