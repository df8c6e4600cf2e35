#include "PrefixIndex.hpp"

#include <algorithm>

namespace masticstep::routing {

namespace {

// Matching more hashes would cost more time per decision than a cache hit saves.
constexpr std::size_t kMaximumDepth = 64;

} // namespace

PrefixIndex::PrefixIndex(std::size_t aHashesPerEngine)
  : mHashesPerEngine(aHashesPerEngine)
{
}

void PrefixIndex::Store(std::size_t aEngine, std::uint64_t aHash)
{
  if (mHashesPerEngine == 0) {
    return;
  }
  if (aEngine >= mInsertionOrder.size()) {
    mInsertionOrder.resize(aEngine + 1);
  }
  std::vector<std::uint16_t>& engines = mEnginesByHash[aHash];
  const std::uint16_t engine = static_cast<std::uint16_t>(aEngine);
  if (std::find(engines.begin(), engines.end(), engine) != engines.end()) {
    return;
  }
  engines.push_back(engine);
  std::deque<std::uint64_t>& order = mInsertionOrder[aEngine];
  order.push_back(aHash);
  while (order.size() > mHashesPerEngine) {
    const std::uint64_t oldest = order.front();
    order.pop_front();
    Remove(aEngine, oldest);
  }
}

void PrefixIndex::Remove(std::size_t aEngine, std::uint64_t aHash)
{
  const auto it = mEnginesByHash.find(aHash);
  if (it == mEnginesByHash.end()) {
    return;
  }
  std::erase(it->second, static_cast<std::uint16_t>(aEngine));
  if (it->second.empty()) {
    mEnginesByHash.erase(it);
  }
}

void PrefixIndex::Clear(std::size_t aEngine)
{
  if (aEngine >= mInsertionOrder.size()) {
    return;
  }
  for (const std::uint64_t hash : mInsertionOrder[aEngine]) {
    Remove(aEngine, hash);
  }
  mInsertionOrder[aEngine].clear();
}

void PrefixIndex::Match(const std::vector<std::uint64_t>& aHashes,
                        std::vector<std::uint32_t>& aMatched) const
{
  std::fill(aMatched.begin(), aMatched.end(), 0U);
  const std::size_t depth = std::min(aHashes.size(), kMaximumDepth);
  for (std::uint32_t i = 0; i < depth; ++i) {
    const auto it = mEnginesByHash.find(aHashes[i]);
    if (it == mEnginesByHash.end()) {
      return;
    }
    bool isMatched = false;
    for (const std::uint16_t engine : it->second) {
      if (aMatched[engine] == i) {
        aMatched[engine] = i + 1;
        isMatched = true;
      }
    }
    if (!isMatched) {
      return;
    }
  }
}

std::size_t PrefixIndex::HashCount(std::size_t aEngine) const
{
  return aEngine < mInsertionOrder.size() ? mInsertionOrder[aEngine].size() : 0;
}

} // namespace masticstep::routing
