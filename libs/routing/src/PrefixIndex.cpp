#include "PrefixIndex.hpp"

#include <algorithm>

namespace masticstep::routing {

namespace {

// Deeper prefixes would cost more time per decision than a hit saves.
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
  if (aEngine >= mOrder.size()) {
    mOrder.resize(aEngine + 1);
  }
  std::vector<std::uint16_t>& holders = mHolders[aHash];
  const std::uint16_t engine = static_cast<std::uint16_t>(aEngine);
  if (std::find(holders.begin(), holders.end(), engine) != holders.end()) {
    return;
  }
  holders.push_back(engine);
  std::deque<std::uint64_t>& order = mOrder[aEngine];
  order.push_back(aHash);
  while (order.size() > mHashesPerEngine) {
    const std::uint64_t oldest = order.front();
    order.pop_front();
    Remove(aEngine, oldest);
  }
}

void PrefixIndex::Remove(std::size_t aEngine, std::uint64_t aHash)
{
  const auto it = mHolders.find(aHash);
  if (it == mHolders.end()) {
    return;
  }
  std::erase(it->second, static_cast<std::uint16_t>(aEngine));
  if (it->second.empty()) {
    mHolders.erase(it);
  }
}

void PrefixIndex::Clear(std::size_t aEngine)
{
  if (aEngine >= mOrder.size()) {
    return;
  }
  for (const std::uint64_t hash : mOrder[aEngine]) {
    Remove(aEngine, hash);
  }
  mOrder[aEngine].clear();
}

void PrefixIndex::Match(const std::vector<std::uint64_t>& aHashes,
                        std::vector<std::uint32_t>& aMatched) const
{
  std::fill(aMatched.begin(), aMatched.end(), 0U);
  const std::size_t depth = std::min(aHashes.size(), kMaximumDepth);
  for (std::uint32_t i = 0; i < depth; ++i) {
    const auto it = mHolders.find(aHashes[i]);
    if (it == mHolders.end()) {
      return;
    }
    bool isHeld = false;
    for (const std::uint16_t engine : it->second) {
      if (aMatched[engine] == i) {
        aMatched[engine] = i + 1;
        isHeld = true;
      }
    }
    if (!isHeld) {
      return;
    }
  }
}

std::size_t PrefixIndex::Hashes(std::size_t aEngine) const
{
  return aEngine < mOrder.size() ? mOrder[aEngine].size() : 0;
}

} // namespace masticstep::routing
