#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/dispatch/Prompt.hpp"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace masticstep::dispatch {

// Returns a key for each leading run of parts of a prompt: the first part, the first two, and so
// on.
std::vector<std::uint64_t> PrefixKeys(const Prompt& aPrompt);

// Leading parts of prompts that one engine is believed to hold, because this daemon sent them
// there. The engine drops what was not lastUsed for longest when its memory is full.
class PrefixCache
{
public:
  explicit PrefixCache(std::uint64_t aCapacityTokens);

  // Returns the leading tokens of the prompt that the engine holds.
  std::uint32_t CachedTokens(const Prompt& aPrompt, const std::vector<std::uint64_t>& aKeys,
                             Time aNow) const;
  // The engine has read the prompt.
  void OnPrefill(const Prompt& aPrompt, const std::vector<std::uint64_t>& aKeys, Time aNow);
  void Clear();

private:
  struct Entry
  {
    Time lastUsed;
    std::uint32_t tokens = 0; // of the last part of the run
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
  std::deque<Use> mUses; // oldest first; may hold older uses of an entry
};

} // namespace masticstep::dispatch
