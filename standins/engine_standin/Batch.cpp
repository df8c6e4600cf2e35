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
  sequence.toPrefill = aRequest.promptTokens;
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
  GiveUpMemory(it->second, aNow);
  mSequences.erase(it);
  return hasStarted;
}

std::size_t Batch::Running() const
{
  return static_cast<std::size_t>(std::count_if(
    mSequences.begin(), mSequences.end(),
    [](const std::pair<const std::string, Sequence>& aEntry) { return aEntry.second.isRunning; }));
}

// Returns running or waiting sequences, higher priority first, then by arrival.
std::vector<Batch::Sequence*> Batch::InOrder(bool aRunning)
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
    step.span = mParameters.stepBase + mParameters.stepPerSequence * decoded +
                mParameters.stepPerPromptToken * promptTokens;
  }
  return step;
}

void Batch::AdmitWaiting(Time aNow)
{
  const std::size_t limit = LimitsOf(mRole).sequences;
  std::size_t running = Running();
  for (Sequence* sequence : InOrder(false)) {
    if (running >= limit || !AdmitOne(*sequence, aNow)) {
      return;
    }
    ++running;
  }
}

bool Batch::AdmitOne(Sequence& aSequence, Time aNow)
{
  const std::size_t needed = BlocksFor(aSequence.toPrefill + 1);
  aSequence.pinned = mMemory->PinPrefix(aSequence.request.prefixHashes, aNow);
  const std::size_t own = needed - aSequence.pinned * kBlocksPerHash;
  bool hasMemory = mMemory->Take(own, aNow);
  while (!hasMemory && PreemptBelow(aSequence, aNow)) {
    hasMemory = mMemory->Take(own, aNow);
  }
  if (!hasMemory) {
    GiveUpMemory(aSequence, aNow);
    return false;
  }
  aSequence.taken = own;
  const std::uint32_t cached = static_cast<std::uint32_t>(aSequence.pinned) * kTokensPerHash;
  // The last prompt token is always computed, because its result is the first generated token.
  aSequence.prefilled = std::min(cached, aSequence.toPrefill - 1);
  mCounters.cachedTokens += aSequence.prefilled;
  aSequence.isRunning = true;
  aSequence.hasStarted = true;
  return true;
}

std::uint32_t Batch::RunPrefill(Time aNow)
{
  std::uint32_t budget = LimitsOf(mRole).prefillTokens;
  std::uint32_t total = 0;
  for (Sequence* sequence : InOrder(true)) {
    const std::uint32_t n = std::min(budget, sequence->toPrefill - sequence->prefilled);
    sequence->prefilled += n;
    budget -= n;
    total += n;
    if (n > 0 && sequence->prefilled == sequence->toPrefill) {
      const std::vector<std::uint64_t>& hashes = sequence->request.prefixHashes;
      mMemory->Store(hashes, sequence->pinned, aNow);
      sequence->taken -= (hashes.size() - sequence->pinned) * kBlocksPerHash;
      sequence->pinned = hashes.size();
    }
  }
  mCounters.prefillTokens += total;
  return total;
}

std::uint32_t Batch::RunDecode(BatchStep& aStep, Time aNow)
{
  std::uint32_t decoded = 0;
  for (Sequence* sequence : InOrder(true)) {
    // A sequence earlier in the order may have preempted this one.
    const bool isReady = sequence->isRunning && sequence->prefilled == sequence->toPrefill;
    if (!isReady || !HasRoomForToken(*sequence, aNow)) {
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

bool Batch::HasRoomForToken(Sequence& aSequence, Time aNow)
{
  const std::size_t needed = BlocksFor(aSequence.request.promptTokens + aSequence.generated + 1);
  while (aSequence.taken + aSequence.pinned * kBlocksPerHash < needed) {
    if (mMemory->Take(1, aNow)) {
      ++aSequence.taken;
    } else if (!PreemptBelow(aSequence, aNow)) {
      ++mCounters.preemptions;
      GiveUpMemory(aSequence, aNow);
      return false;
    }
  }
  return true;
}

// Takes the memory of the last running sequence in order, if it comes after the given one.
bool Batch::PreemptBelow(const Sequence& aSequence, Time aNow)
{
  const std::vector<Sequence*> running = InOrder(true);
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
  GiveUpMemory(last, aNow);
  return true;
}

// The sequence waits again, and its prompt and text are computed anew when it is admitted.
void Batch::GiveUpMemory(Sequence& aSequence, Time aNow)
{
  mMemory->Unpin(aSequence.request.prefixHashes, aSequence.pinned, aNow);
  mMemory->Release(aSequence.taken);
  aSequence.pinned = 0;
  aSequence.taken = 0;
  aSequence.prefilled = 0;
  aSequence.toPrefill = aSequence.request.promptTokens + aSequence.generated;
  aSequence.isRunning = false;
}

} // namespace masticstep::standins
