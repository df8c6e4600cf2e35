#include "engine_standin/Batch.hpp"

#include "common/GeneratedText.hpp"

#include <algorithm>

namespace masticstep::standins {

namespace {

std::size_t BlocksFor(std::uint32_t aTokens)
{
  return (aTokens + kBlockTokens - 1) / kBlockTokens;
}

} // namespace

Batch::Batch(const EngineParameters& aParameters, KvMemory& aMemory)
  : mParameters(aParameters)
  , mMemory(&aMemory)
{
}

bool Batch::Add(SequenceRequest aRequest)
{
  const bool fits = BlocksFor(aRequest.promptTokens + aRequest.maxTokens) <= mMemory->Total();
  if (!fits || mSequences.contains(aRequest.id) || Waiting() >= mParameters.waitingLimit) {
    return false;
  }
  Sequence sequence;
  sequence.arrival = ++mArrivals;
  sequence.prefillTarget = aRequest.promptTokens;
  sequence.request = std::move(aRequest);
  const std::string id = sequence.request.id;
  mSequences.emplace(id, std::move(sequence));
  return true;
}

std::optional<bool> Batch::Remove(const std::string& aId, Time aNow)
{
  const std::map<std::string, Sequence>::iterator it = mSequences.find(aId);
  if (it == mSequences.end()) {
    return std::nullopt;
  }
  const bool hasStarted = it->second.hasStarted;
  ReleaseMemory(it->second, aNow);
  mSequences.erase(it);
  return hasStarted;
}

std::size_t Batch::Running() const
{
  return static_cast<std::size_t>(std::count_if(
    mSequences.begin(), mSequences.end(),
    [](const std::pair<const std::string, Sequence>& aEntry) { return aEntry.second.isRunning; }));
}

// Returns the running or the waiting sequences by descending priority, then by arrival.
std::vector<Batch::Sequence*> Batch::SortedByPriority(bool aRunning)
{
  std::vector<Sequence*> sequences;
  for (std::pair<const std::string, Sequence>& entry : mSequences) {
    if (entry.second.isRunning == aRunning) {
      sequences.push_back(&entry.second);
    }
  }
  std::sort(sequences.begin(), sequences.end(), [](const Sequence* aLeft, const Sequence* aRight) {
    return aLeft->request.priority != aRight->request.priority
             ? aLeft->request.priority > aRight->request.priority
             : aLeft->arrival < aRight->arrival;
  });
  return sequences;
}

BatchStep Batch::Step(Time aNow)
{
  AdmitWaiting(aNow);
  BatchStep step;
  const std::uint32_t promptTokens = RunPrefill(aNow);
  const std::uint32_t decoded = RunDecode(step, aNow);
  if (promptTokens + decoded > 0) {
    step.duration = mParameters.stepBase + mParameters.stepPerSequence * decoded +
                    mParameters.stepPerPromptToken * promptTokens;
  }
  return step;
}

void Batch::AdmitWaiting(Time aNow)
{
  const std::size_t limit = LimitsOf(mRole).sequences;
  std::size_t running = Running();
  for (Sequence* sequence : SortedByPriority(false)) {
    if (running >= limit || !TryAdmit(*sequence, aNow)) {
      return;
    }
    ++running;
  }
}

bool Batch::TryAdmit(Sequence& aSequence, Time aNow)
{
  const std::size_t needed = BlocksFor(aSequence.prefillTarget + 1);
  aSequence.pinnedEntries = mMemory->PinPrefix(aSequence.request.prefixHashes, aNow);
  const std::size_t ownNeeded = needed - aSequence.pinnedEntries * kBlocksPerHash;
  bool hasMemory = mMemory->Allocate(ownNeeded, aNow);
  while (!hasMemory && PreemptLowest(aSequence, aNow)) {
    hasMemory = mMemory->Allocate(ownNeeded, aNow);
  }
  if (!hasMemory) {
    ReleaseMemory(aSequence, aNow);
    return false;
  }
  aSequence.ownBlocks = ownNeeded;
  const std::uint32_t cached = static_cast<std::uint32_t>(aSequence.pinnedEntries) * kTokensPerHash;
  // The last prompt token is always computed, because its output is the first generated token.
  aSequence.prefilled = std::min(cached, aSequence.prefillTarget - 1);
  mCounters.cachedTokens += aSequence.prefilled;
  aSequence.isRunning = true;
  aSequence.hasStarted = true;
  return true;
}

std::uint32_t Batch::RunPrefill(Time aNow)
{
  std::uint32_t budget = LimitsOf(mRole).prefillTokens;
  std::uint32_t total = 0;
  for (Sequence* sequence : SortedByPriority(true)) {
    const std::uint32_t n = std::min(budget, sequence->prefillTarget - sequence->prefilled);
    sequence->prefilled += n;
    budget -= n;
    total += n;
    if (n > 0 && sequence->prefilled == sequence->prefillTarget) {
      const std::vector<std::uint64_t>& hashes = sequence->request.prefixHashes;
      mMemory->Store(hashes, sequence->pinnedEntries, aNow);
      sequence->ownBlocks -= (hashes.size() - sequence->pinnedEntries) * kBlocksPerHash;
      sequence->pinnedEntries = hashes.size();
    }
  }
  mCounters.prefillTokens += total;
  return total;
}

std::uint32_t Batch::RunDecode(BatchStep& aStep, Time aNow)
{
  std::uint32_t decoded = 0;
  for (Sequence* sequence : SortedByPriority(true)) {
    // An earlier sequence in the iteration order may have preempted this one.
    const bool isReady = sequence->isRunning && sequence->prefilled == sequence->prefillTarget;
    if (!isReady || !ReserveBlockForToken(*sequence, aNow)) {
      continue;
    }
    ++sequence->generated;
    ++decoded;
    aStep.advanced.push_back(sequence->request.id);
  }
  for (const std::string& id : aStep.advanced) {
    const Sequence& sequence = mSequences.at(id);
    if (sequence.generated == sequence.request.maxTokens) {
      Remove(id, aNow);
    }
  }
  mCounters.generatedTokens += decoded;
  return decoded;
}

bool Batch::ReserveBlockForToken(Sequence& aSequence, Time aNow)
{
  const std::size_t needed = BlocksFor(aSequence.request.promptTokens + aSequence.generated + 1);
  while (aSequence.ownBlocks + aSequence.pinnedEntries * kBlocksPerHash < needed) {
    if (mMemory->Allocate(1, aNow)) {
      ++aSequence.ownBlocks;
    } else if (!PreemptLowest(aSequence, aNow)) {
      ++mCounters.preemptions;
      ReleaseMemory(aSequence, aNow);
      return false;
    }
  }
  return true;
}

// Preempts the lowest-ranked running sequence if it ranks below the given one. A waiting sequence
// preempts only sequences of lower priority.
bool Batch::PreemptLowest(const Sequence& aSequence, Time aNow)
{
  const std::vector<Sequence*> running = SortedByPriority(true);
  if (running.empty()) {
    return false;
  }
  Sequence& last = *running.back();
  const bool comesAfter =
    last.request.priority < aSequence.request.priority ||
    (aSequence.isRunning && &last != &aSequence &&
     last.request.priority == aSequence.request.priority && last.arrival > aSequence.arrival);
  if (!comesAfter) {
    return false;
  }
  ++mCounters.preemptions;
  ReleaseMemory(last, aNow);
  return true;
}

// Returns the sequence to the waiting state. Its prompt and generated text are recomputed when it
// is admitted again.
void Batch::ReleaseMemory(Sequence& aSequence, Time aNow)
{
  mMemory->Unpin(aSequence.request.prefixHashes, aSequence.pinnedEntries, aNow);
  mMemory->Release(aSequence.ownBlocks);
  aSequence.pinnedEntries = 0;
  aSequence.ownBlocks = 0;
  aSequence.prefilled = 0;
  aSequence.prefillTarget = aSequence.request.promptTokens + aSequence.generated;
  aSequence.isRunning = false;
}

} // namespace masticstep::standins
