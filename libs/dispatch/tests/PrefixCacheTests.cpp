#include "masticstep/dispatch/PrefixCache.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::dispatch;

namespace {

constexpr Time kStart{ Seconds(10) };

Prompt MakePrompt(std::uint64_t aShared, std::uint64_t aOwn)
{
  return { "m", 1600, 50, { { 1, 100 }, { aShared, 1000 }, { aOwn, 500 } } };
}

std::uint32_t Cached(const PrefixCache& aCache, const Prompt& aPrompt, Time aNow)
{
  return aCache.CachedTokens(aPrompt, PrefixKeys(aPrompt), aNow);
}

} // namespace

MASTICSTEP_TEST("the shared parts of a processed prompt are cached for other prompts",
                "[dispatch][cache]")
{
  PrefixCache cache(10000);
  const Prompt first = MakePrompt(7, 70);
  CHECK_EQUAL(0U, Cached(cache, first, kStart));
  cache.OnPrefill(first, PrefixKeys(first), kStart);
  CHECK_EQUAL(1600U, Cached(cache, first, kStart));
  CHECK_EQUAL(1100U, Cached(cache, MakePrompt(7, 71), kStart));
  CHECK_EQUAL(100U, Cached(cache, MakePrompt(8, 72), kStart));
}

// Guards against counting a part as cached when different parts precede it.
MASTICSTEP_TEST(
  "a part counts as cached only if the same parts precede it and the model is the same",
  "[dispatch][cache]")
{
  PrefixCache cache(10000);
  const Prompt first = MakePrompt(7, 70);
  cache.OnPrefill(first, PrefixKeys(first), kStart);
  const Prompt moved{ "m", 1500, 50, { { 7, 1000 }, { 70, 500 } } };
  CHECK_EQUAL(0U, Cached(cache, moved, kStart));
  Prompt other = first;
  other.model = "n";
  CHECK_EQUAL(0U, Cached(cache, other, kStart));
}

MASTICSTEP_TEST("the least recently used parts are evicted from a full cache", "[dispatch][cache]")
{
  PrefixCache cache(3500);
  for (std::uint64_t i = 0; i < 5; ++i) {
    const Prompt prompt = MakePrompt(10 + i, 100 + i);
    cache.OnPrefill(prompt, PrefixKeys(prompt),
                    kStart + Milliseconds(static_cast<std::int64_t>(i)));
  }
  const Time now = kStart + Milliseconds(10);
  CHECK_TRUE(Cached(cache, MakePrompt(10, 999), now) <= 100U);
  CHECK_EQUAL(1100U, Cached(cache, MakePrompt(14, 999), now));
}

MASTICSTEP_TEST("an unused entry expires", "[dispatch][cache]")
{
  PrefixCache cache(10000);
  const Prompt prompt = MakePrompt(7, 70);
  cache.OnPrefill(prompt, PrefixKeys(prompt), kStart);
  CHECK_EQUAL(0U, Cached(cache, prompt, kStart + Seconds(60)));
}
