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
  std::int64_t priority = 0; // higher runs first
  std::vector<std::uint64_t> prefixHashes;
};

// One step of the engine: how long it takes, and which sequences have one token more after it.
struct BatchStep
{
  Duration span{};
  std::vector<std::string> advanced;
};

struct BatchCounters
{
  std::uint64_t prefillTokens = 0;
  std::uint64_t cachedTokens = 0; // prompt tokens that the prefix cache saved
  std::uint64_t generatedTokens = 0;
  std::uint64_t preemptions = 0;
};

// Continuous batching on model time. Does no I/O and reads no clock.
class Batch
{
public:
  Batch(const EngineParameters& aParameters, KvMemory& aMemory);

  // False if the id is in use, too many wait, or the request can never fit into memory.
  bool Add(SequenceRequest aRequest);
  // Removes a sequence; returns whether it had started, or nothing if it is unknown.
  std::optional<bool> Remove(const std::string& aId, Time aNow);
  // Runs one step; its span is zero if there is nothing to do.
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
    std::uint32_t prefilled = 0; // tokens of prompt and text before it that are in memory
    std::uint32_t toPrefill = 0;
    std::uint32_t generated = 0;
    std::size_t pinned = 0; // entries of the prefix cache
    std::size_t taken = 0;  // own blocks
    bool isRunning = false;
    bool hasStarted = false;
  };

  std::vector<Sequence*> InOrder(bool aRunning);
  void AdmitWaiting(Time aNow);
  bool AdmitOne(Sequence& aSequence, Time aNow);
  std::uint32_t RunPrefill(Time aNow);
  std::uint32_t RunDecode(BatchStep& aStep, Time aNow);
  bool HasRoomForToken(Sequence& aSequence, Time aNow);
  bool PreemptBelow(const Sequence& aSequence, Time aNow);
  void GiveUpMemory(Sequence& aSequence, Time aNow);

  EngineParameters mParameters;
  KvMemory* mMemory;
  EngineRole mRole = EngineRole::Mixed;
  std::map<std::string, Sequence> mSequences;
  std::uint64_t mArrivals = 0;
  BatchCounters mCounters;
};

} // namespace masticstep::standins
