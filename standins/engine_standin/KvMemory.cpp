#include "engine_standin/KvMemory.hpp"

#include "common/GeneratedText.hpp"

#include <algorithm>

namespace masticstep::standins {

KvMemory::KvMemory(std::size_t aBlocks, std::size_t aCacheBound, CacheEventLog& aLog)
  : mBlocks(aBlocks)
  , mCacheBound(aCacheBound)
  , mLog(&aLog)
{
}

std::size_t KvMemory::InUse() const
{
  return mTaken + (mEntries.size() - mUnpinned.size()) * kBlocksPerHash;
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
  if (entry.pins++ == 0) {
    mUnpinned.erase(entry.place);
  }
}

void KvMemory::Unpin(const std::vector<std::uint64_t>& aHashes, std::size_t aCount, Time aNow)
{
  // The end of a prefix is evicted before its beginning.
  for (std::size_t i = aCount; i > 0; --i) {
    Entry& entry = mEntries.at(aHashes[i - 1]);
    if (--entry.pins == 0) {
      entry.place = mUnpinned.insert(mUnpinned.end(), aHashes[i - 1]);
    }
  }
  KeepBound(aNow);
}

void KvMemory::EvictOne(Time aNow)
{
  const std::uint64_t hash = mUnpinned.front();
  mUnpinned.pop_front();
  mEntries.erase(hash);
  mLog->Append(false, hash, aNow);
}

void KvMemory::KeepBound(Time aNow)
{
  while (mUnpinned.size() * kBlocksPerHash > mCacheBound) {
    EvictOne(aNow);
  }
}

bool KvMemory::Take(std::size_t aCount, Time aNow)
{
  if (InUse() + aCount > mBlocks) {
    return false;
  }
  while (mTaken + Cached() + aCount > mBlocks) {
    EvictOne(aNow);
  }
  mTaken += aCount;
  return true;
}

void KvMemory::Release(std::size_t aCount)
{
  mTaken -= std::min(aCount, mTaken);
}

void KvMemory::Add(std::uint64_t aHash, Time aNow)
{
  Entry entry;
  entry.place = mUnpinned.insert(mUnpinned.end(), aHash);
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
    if (!Take(kBlocksPerHash, aNow)) {
      break;
    }
    Release(kBlocksPerHash);
    Add(hash, aNow);
  }
  KeepBound(aNow);
  return CachedPrefix(aHashes);
}

} // namespace masticstep::standins
