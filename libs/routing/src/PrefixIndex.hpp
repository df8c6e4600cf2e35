#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace masticstep::routing {

// Index of the prompt prefixes that each engine is expected to have cached. Engines are identified
// by their index in the router's table. The number of hashes per engine is bounded, and the oldest
// is evicted first.
class PrefixIndex
{
public:
  explicit PrefixIndex(std::size_t aHashesPerEngine);

  void Store(std::size_t aEngine, std::uint64_t aHash);
  void Remove(std::size_t aEngine, std::uint64_t aHash);
  void Clear(std::size_t aEngine);
  // Sets aMatched, which has one element per engine, to the number of leading hashes that the
  // engine has cached.
  void Match(const std::vector<std::uint64_t>& aHashes, std::vector<std::uint32_t>& aMatched) const;
  std::size_t HashCount(std::size_t aEngine) const;

private:
  std::size_t mHashesPerEngine;
  std::unordered_map<std::uint64_t, std::vector<std::uint16_t>> mEnginesByHash;
  std::vector<std::deque<std::uint64_t>> mInsertionOrder;
};

} // namespace masticstep::routing
