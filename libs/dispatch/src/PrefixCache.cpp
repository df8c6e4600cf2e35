#include "masticstep/dispatch/PrefixCache.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>
#include <cstring>

namespace masticstep::dispatch {

namespace {

// Other daemons also fill the engine's cache, so an entry unused for this long is assumed to be
// evicted.
constexpr Duration kEntryLifetime = Seconds(20);

std::uint64_t CombineKeys(std::uint64_t aKey, std::uint64_t aPart)
{
  char bytes[sizeof(aPart)];
  std::memcpy(bytes, &aPart, sizeof(aPart));
  return Hash64(std::string_view(bytes, sizeof(bytes)), aKey);
}

} // namespace

std::vector<std::uint64_t> PrefixKeys(const Prompt& aPrompt)
{
  std::vector<std::uint64_t> keys;
  keys.reserve(aPrompt.parts.size());
  std::uint64_t key = Hash64(aPrompt.model);
  for (const PromptPart& part : aPrompt.parts) {
    key = CombineKeys(key, part.id);
    keys.push_back(key);
  }
  return keys;
}

PrefixCache::PrefixCache(std::uint64_t aCapacityTokens)
  : mCapacityTokens(aCapacityTokens)
{
}

std::uint32_t PrefixCache::CachedTokens(const Prompt& aPrompt,
                                        const std::vector<std::uint64_t>& aKeys, Time aNow) const
{
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i < aKeys.size(); ++i) {
    const auto found = mEntries.find(aKeys[i]);
    if (found == mEntries.end() || found->second.lastUsed + kEntryLifetime < aNow) {
      break;
    }
    tokens += aPrompt.parts[i].tokens;
  }
  return std::min(tokens, aPrompt.promptTokens);
}

void PrefixCache::OnPrefill(const Prompt& aPrompt, const std::vector<std::uint64_t>& aKeys,
                            Time aNow)
{
  for (std::size_t i = 0; i < aKeys.size(); ++i) {
    const auto [it, isNew] = mEntries.try_emplace(aKeys[i], Entry{ aNow, aPrompt.parts[i].tokens });
    if (isNew) {
      mTokens += aPrompt.parts[i].tokens;
    }
    it->second.lastUsed = aNow;
    mUses.push_back({ aKeys[i], aNow });
  }
  Evict(aNow);
}

void PrefixCache::Evict(Time aNow)
{
  while (!mUses.empty()) {
    const Use oldest = mUses.front();
    const auto found = mEntries.find(oldest.key);
    const bool isCurrent = found != mEntries.end() && found->second.lastUsed == oldest.at;
    if (isCurrent && mTokens <= mCapacityTokens && oldest.at + kEntryLifetime >= aNow) {
      return;
    }
    mUses.pop_front();
    if (isCurrent) {
      mTokens -= found->second.tokens;
      mEntries.erase(found);
    }
  }
}

void PrefixCache::Clear()
{
  mEntries.clear();
  mUses.clear();
  mTokens = 0;
}

} // namespace masticstep::dispatch
