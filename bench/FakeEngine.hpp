#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/routing/LoadReport.hpp"

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace masticstep::bench {

// Batching model: continuous batching with chunked prefill, as described for Sarathi-Serve
// (Agrawal et al., 2024). Each step computes one token of every running stream and at most a chunk
// of prompt tokens. The constants are a roofline estimate for a model of 70 billion parameters of
// 2 bytes on 8 accelerators with 2.0 TB/s and 312 TFLOPS each (A100 80 GB data sheet).
struct BatchingModel
{
  // 140 GB of weights at 16 TB/s, and 160 all-reduces of 20 us.
  static constexpr double kStepSeconds = 0.012;
  // 140 GFLOP per token at 45% of the peak.
  static constexpr double kPromptTokenSeconds = 0.000125;
  // Sampling and scheduling per stream.
  static constexpr double kStreamSeconds = 0.00002;
  // 5.2 MB of KV per block of 16 tokens at 16 TB/s.
  static constexpr double kBlockSeconds = 0.00000033;
  static constexpr std::uint32_t kBlockTokens = 16;
  static constexpr std::uint32_t kBlocks = 2000; // design section 1.4
  static constexpr std::size_t kLongestBatch = 128;
  static constexpr std::size_t kCachedPrefixes = 400;

  // Prompt tokens per step. A role is this number.
  static std::uint32_t ChunkOf(routing::EngineRole aRole);
};

// One request on a fake engine.
struct Sequence
{
  std::uint32_t request = 0;
  std::uint32_t attempt = 0;
  std::uint32_t promptTokens = 0;
  std::uint32_t outputTokens = 0;
  std::uint8_t priority = 0;
  std::vector<std::uint64_t> prefixHashes;
  std::uint32_t promptLeft = 0;
  bool isStarted = false;
  std::uint32_t done = 0;
  std::uint32_t blocks = 0;
};

// What a step brought forth.
struct StepResult
{
  std::vector<Sequence> firstTokens;
  std::vector<Sequence> finished;
  std::vector<std::uint64_t> stored;
  std::vector<std::uint64_t> removed;
};

class FakeEngine
{
public:
  explicit FakeEngine(routing::EngineRole aRole);

  void Add(Sequence aSequence);
  // Starts a step if there is work; returns its length.
  bool StartStep(Duration& aLength);
  StepResult EndStep();
  // Ends everything that runs or waits and returns it.
  std::vector<Sequence> Crash();

  bool IsStepping() const { return mIsStepping; }
  std::size_t Requests() const { return mWaiting.size() + mRunning.size(); }
  std::uint32_t UsedBlocks() const { return mUsedBlocks; }
  // Prompt tokens left of requests of at least this priority.
  std::uint32_t PromptBacklog(std::uint8_t aPriority) const;
  std::size_t Running() const { return mRunning.size(); }
  std::uint32_t CachedTokens(const Sequence& aSequence) const;
  routing::LoadReport Report() const;

  routing::EngineRole role;
  routing::EngineState state = routing::EngineState::Ready;

private:
  void AdmitWaiting();
  void AssignChunks();
  void StorePrefixes(const Sequence& aSequence, StepResult& aResult);

  std::deque<Sequence> mWaiting;
  std::vector<Sequence> mRunning;
  std::vector<std::uint32_t> mChunks;
  std::vector<std::size_t> mPrompts;
  std::uint32_t mUsedBlocks = 0;
  bool mIsStepping = false;
  std::list<std::uint64_t> mCacheOrder;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> mCache;
};

} // namespace masticstep::bench
