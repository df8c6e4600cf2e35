#pragma once

#include "engine_standin/EngineParameters.hpp"
#include "engine_standin/KvMemory.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticstep::standins {

struct SequenceRequest
{
  std::string id;
  std::uint32_t promptTokens = 1;
  std::uint32_t maxTokens = 1;
  std::int64_t priority = 0; // higher values run first
  std::vector<std::uint64_t> prefixHashes;
};

// Result of one engine step: its duration and the IDs of the sequences that gained a token.
struct BatchStep
{
  Duration duration{};
  std::vector<std::string> advanced;
};

struct BatchCounters
{
  std::uint64_t prefillTokens = 0;
  std::uint64_t cachedTokens = 0; // prefill tokens served from the prefix cache
  std::uint64_t generatedTokens = 0;
  std::uint64_t preemptions = 0;
};

// Simulated continuous batching. Performs no I/O and reads no clock.
class Batch
{
public:
  Batch(const EngineParameters& aParameters, KvMemory& aMemory);

  // Returns false if the ID is in use, the waiting queue is full, or the request exceeds the total
  // KV memory.
  bool Add(SequenceRequest aRequest);
  // Removes a sequence; returns whether it had started, or nullopt if the ID is unknown.
  std::optional<bool> Remove(const std::string& aId, Time aNow);
  // Runs one step; the returned duration is zero if there is no work.
  BatchStep Step(Time aNow);
  void SetRole(EngineRole aRole) { mRole = aRole; }
  EngineRole Role() const { return mRole; }

  std::size_t Running() const;
  std::size_t Waiting() const { return mSequences.size() - Running(); }
  const BatchCounters& Counters() const { return mCounters; }

private:
  struct Sequence
  {
    SequenceRequest request;
    std::uint64_t arrival = 0;
    std::uint32_t prefilled = 0;     // tokens whose KV is in memory, out of prefillTarget
    std::uint32_t prefillTarget = 0; // prompt and previously generated tokens to prefill
    std::uint32_t generated = 0;
    std::size_t pinnedEntries = 0; // prefix cache entries
    std::size_t ownBlocks = 0;     // blocks that are not part of the prefix cache
    bool isRunning = false;
    bool hasStarted = false;
  };

  std::vector<Sequence*> SortedByPriority(bool aRunning);
  void AdmitWaiting(Time aNow);
  bool TryAdmit(Sequence& aSequence, Time aNow);
  std::uint32_t RunPrefill(Time aNow);
  std::uint32_t RunDecode(BatchStep& aStep, Time aNow);
  bool ReserveBlockForToken(Sequence& aSequence, Time aNow);
  bool PreemptLowest(const Sequence& aSequence, Time aNow);
  void ReleaseMemory(Sequence& aSequence, Time aNow);

  EngineParameters mParameters;
  KvMemory* mMemory;
  EngineRole mRole = EngineRole::Mixed;
  std::map<std::string, Sequence> mSequences;
  std::uint64_t mArrivals = 0;
  BatchCounters mCounters;
};

} // namespace masticstep::standins
