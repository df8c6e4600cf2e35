#include "common/GeneratedText.hpp"
#include "engine_standin/Batch.hpp"

#include "masticstep/testing/Test.hpp"

#include <algorithm>

using namespace masticstep;
using namespace masticstep::standins;

namespace {

SequenceRequest RequestOf(const std::string& aId, const std::string& aPrompt,
                          std::uint32_t aMaxTokens, std::int64_t aPriority)
{
  return { aId, CountPromptTokens(aPrompt), aMaxTokens, aPriority, PrefixHashes(aPrompt) };
}

// Batch with a small KV memory, so that tests can exhaust it.
struct Engine
{
  explicit Engine(std::size_t aBlocks)
    : log(1, Duration::zero(), 0)
    , memory(aBlocks, aBlocks / 2, log)
    , batch({}, memory)
  {
  }

  // Runs steps until there is no work; returns the number of tokens of each sequence.
  std::map<std::string, std::uint32_t> RunAll()
  {
    std::map<std::string, std::uint32_t> tokens;
    BatchStep step = batch.Step(now);
    while (step.duration > Duration::zero()) {
      now += step.duration;
      for (const std::string& id : step.advanced) {
        ++tokens[id];
      }
      step = batch.Step(now);
    }
    return tokens;
  }

  Time now;
  CacheEventLog log;
  KvMemory memory;
  Batch batch;
};

} // namespace

// Guards against lost or repeated tokens and leaked blocks when sequences are preempted because
// memory is exhausted.
MASTICSTEP_TEST("every sequence gets all its tokens when memory is exhausted", "[engine][property]")
{
  masticstep::testing::CheckProperty("all tokens", [](const std::vector<std::uint8_t>& aLengths) {
    Engine engine(30);
    std::map<std::string, std::uint32_t> expected;
    for (std::size_t i = 0; i < std::min<std::size_t>(aLengths.size(), 12); ++i) {
      const std::uint32_t n = 1 + aLengths[i];
      const std::string id = std::to_string(i);
      RC_ASSERT(engine.batch.Add(RequestOf(id, std::string(n * 8, 'x'), n, aLengths[i] % 3)));
      expected[id] = n;
    }
    RC_ASSERT(engine.RunAll() == expected);
    RC_ASSERT(engine.memory.InUse() == 0U);
    RC_ASSERT(engine.memory.Cached() <= 15U);
  });
}

// Guards against a prefix cache that does not avoid prefill, or that matches prompts with a
// different prefix.
MASTICSTEP_TEST("a cached prefix is not prefilled again", "[engine]")
{
  Engine engine(100);
  const std::string prefix(3 * kBytesPerHash, 'p');
  CHECK_TRUE(engine.batch.Add(RequestOf("a", prefix + "first", 1, 0)));
  engine.RunAll();
  const std::uint64_t first = engine.batch.Counters().prefillTokens;
  CHECK_EQUAL(3 * kTokensPerHash + 2, first);
  CHECK_TRUE(engine.batch.Add(RequestOf("b", prefix + "second", 1, 0)));
  engine.RunAll();
  CHECK_EQUAL(first + 2, engine.batch.Counters().prefillTokens);
  CHECK_TRUE(engine.batch.Add(RequestOf("c", "q" + prefix, 1, 0)));
  engine.RunAll();
  CHECK_EQUAL(first + 2 + 3 * kTokensPerHash + 1, engine.batch.Counters().prefillTokens);
}

// Guards against ignoring priorities when memory is exhausted.
MASTICSTEP_TEST("a higher-priority sequence preempts a lower-priority one", "[engine]")
{
  Engine engine(10);
  CHECK_TRUE(engine.batch.Add(RequestOf("low", std::string(kBytesPerHash, 'l'), 40, 0)));
  engine.batch.Step(engine.now);
  CHECK_TRUE(engine.batch.Add(RequestOf("high", std::string(kBytesPerHash, 'h'), 40, 5)));
  const BatchStep step = engine.batch.Step(engine.now);
  CHECK_EQUAL(std::size_t{ 1 }, step.advanced.size());
  CHECK_EQUAL(std::string("high"), step.advanced.front());
  CHECK_EQUAL(std::uint64_t{ 1 }, engine.batch.Counters().preemptions);
}

// Guards against removed sequences that keep their memory or report the wrong started state.
MASTICSTEP_TEST("removing a sequence reports whether it had started", "[engine]")
{
  Engine engine(10);
  CHECK_TRUE(engine.batch.Add(RequestOf("a", std::string(kBytesPerHash, 'a'), 40, 1)));
  CHECK_TRUE(engine.batch.Add(RequestOf("b", std::string(kBytesPerHash, 'b'), 40, 0)));
  engine.batch.Step(engine.now);
  CHECK_TRUE(engine.batch.Remove("b", engine.now) == std::optional<bool>(false));
  CHECK_TRUE(engine.batch.Remove("a", engine.now) == std::optional<bool>(true));
  CHECK_TRUE(engine.batch.Remove("a", engine.now) == std::nullopt);
  CHECK_EQUAL(std::size_t{ 0 }, engine.memory.InUse());
}
