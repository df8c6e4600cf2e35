#include "engine_standin/KvMemory.hpp"

#include "common/GeneratedText.hpp"

#include <algorithm>

namespace masticstep::standins {

KvMemory::KvMemory(std::size_t aBlocks, std::size_t aCachedBlockLimit, CacheEventLog& aLog)
  : mBlocks(aBlocks)
  , mCachedBlockLimit(aCachedBlockLimit)
  , mLog(&aLog)
{
}

std::size_t KvMemory::InUse() const
{
  return mAllocated + (mEntries.size() - mUnpinned.size()) * kBlocksPerHash;
}

std::size_t KvMemory::Cached() const
{
  return mEntries.size() * kBlocksPerHash;
}

std::size_t KvMemory::CachedPrefix(const std::vector<std::uint64_t>& aHashes) const
{
  std::size_t n = 0;
  while (n < aHashes.size() && mEntries.contains(aHashes[n])) {
    ++n;
  }
  return n;
}

std::size_t KvMemory::PinPrefix(const std::vector<std::uint64_t>& aHashes, Time)
{
  const std::size_t n = CachedPrefix(aHashes);
  for (std::size_t i = 0; i < n; ++i) {
    Pin(aHashes[i]);
  }
  return n;
}

void KvMemory::Pin(std::uint64_t aHash)
{
  Entry& entry = mEntries.at(aHash);
  if (entry.pinCount++ == 0) {
    mUnpinned.erase(entry.lruPosition);
  }
}

void KvMemory::Unpin(const std::vector<std::uint64_t>& aHashes, std::size_t aCount, Time aNow)
{
  // Queues the end of the prefix first, so that it is evicted before the beginning.
  for (std::size_t i = aCount; i > 0; --i) {
    Entry& entry = mEntries.at(aHashes[i - 1]);
    if (--entry.pinCount == 0) {
      entry.lruPosition = mUnpinned.insert(mUnpinned.end(), aHashes[i - 1]);
    }
  }
  EvictToLimit(aNow);
}

void KvMemory::EvictOne(Time aNow)
{
  const std::uint64_t hash = mUnpinned.front();
  mUnpinned.pop_front();
  mEntries.erase(hash);
  mLog->Append(false, hash, aNow);
}

void KvMemory::EvictToLimit(Time aNow)
{
  while (mUnpinned.size() * kBlocksPerHash > mCachedBlockLimit) {
    EvictOne(aNow);
  }
}

bool KvMemory::Allocate(std::size_t aCount, Time aNow)
{
  if (InUse() + aCount > mBlocks) {
    return false;
  }
  while (mAllocated + Cached() + aCount > mBlocks) {
    EvictOne(aNow);
  }
  mAllocated += aCount;
  return true;
}

void KvMemory::Release(std::size_t aCount)
{
  mAllocated -= std::min(aCount, mAllocated);
}

void KvMemory::Add(std::uint64_t aHash, Time aNow)
{
  Entry entry;
  entry.lruPosition = mUnpinned.insert(mUnpinned.end(), aHash);
  mEntries.emplace(aHash, entry);
  mLog->Append(true, aHash, aNow);
}

void KvMemory::Store(const std::vector<std::uint64_t>& aHashes, std::size_t aFrom, Time aNow)
{
  for (std::size_t i = aFrom; i < aHashes.size(); ++i) {
    Release(kBlocksPerHash);
    if (!mEntries.contains(aHashes[i])) {
      Add(aHashes[i], aNow);
    }
    Pin(aHashes[i]);
  }
}

std::size_t KvMemory::Import(const std::vector<std::uint64_t>& aHashes, Time aNow)
{
  for (const std::uint64_t hash : aHashes) {
    if (mEntries.contains(hash)) {
      continue;
    }
    if (!Allocate(kBlocksPerHash, aNow)) {
      break;
    }
    Release(kBlocksPerHash);
    Add(hash, aNow);
  }
  EvictToLimit(aNow);
  return CachedPrefix(aHashes);
}

} // namespace masticstep::standins
