#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/dispatch/Prompt.hpp"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace masticstep::dispatch {

// Returns one key for each prefix of the prompt's parts: the first part, the first two, and so on.
std::vector<std::uint64_t> PrefixKeys(const Prompt& aPrompt);

// Model of an engine's prefix cache: prompt prefixes that the engine is assumed to hold because
// this daemon sent them there. Eviction is least recently used.
class PrefixCache
{
public:
  explicit PrefixCache(std::uint64_t aCapacityTokens);

  // Returns the number of leading prompt tokens that the engine is assumed to hold.
  std::uint32_t CachedTokens(const Prompt& aPrompt, const std::vector<std::uint64_t>& aKeys,
                             Time aNow) const;
  // Records that the engine has processed the prompt.
  void OnPrefill(const Prompt& aPrompt, const std::vector<std::uint64_t>& aKeys, Time aNow);
  void Clear();

private:
  struct Entry
  {
    Time lastUsed;
    std::uint32_t tokens = 0; // of the last part of the prefix
  };
  struct Use
  {
    std::uint64_t key = 0;
    Time at;
  };

  void Evict(Time aNow);

  std::uint64_t mCapacityTokens;
  std::uint64_t mTokens = 0;
  std::unordered_map<std::uint64_t, Entry> mEntries;
  std::deque<Use> mUses; // oldest first; may contain superseded uses of an entry
};

} // namespace masticstep::dispatch
