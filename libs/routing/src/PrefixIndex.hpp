#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace masticstep::routing {

// Which engines are believed to have which prompt prefixes cached. Engines are numbers of the
// router's table. Each engine's belief is bounded; the oldest prefix is forgotten first.
class PrefixIndex
{
public:
  explicit PrefixIndex(std::size_t aHashesPerEngine);

  void Store(std::size_t aEngine, std::uint64_t aHash);
  void Remove(std::size_t aEngine, std::uint64_t aHash);
  void Clear(std::size_t aEngine);
  // Writes the number of leading hashes that each engine holds to aMatched, which has one item per
  // engine.
  void Match(const std::vector<std::uint64_t>& aHashes, std::vector<std::uint32_t>& aMatched) const;
  std::size_t Hashes(std::size_t aEngine) const;

private:
  std::size_t mHashesPerEngine;
  std::unordered_map<std::uint64_t, std::vector<std::uint16_t>> mHolders;
  std::vector<std::deque<std::uint64_t>> mOrder;
};

} // namespace masticstep::routing
