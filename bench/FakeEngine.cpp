#include "FakeEngine.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::bench {

std::uint32_t BatchingModel::ChunkOf(routing::EngineRole aRole)
{
  switch (aRole) {
    case routing::EngineRole::Prefill:
      return 2048;
    case routing::EngineRole::Decode:
      return 64;
    case routing::EngineRole::Mixed:
      break;
  }
  return 512;
}

FakeEngine::FakeEngine(routing::EngineRole aRole)
  : role(aRole)
{
}

void FakeEngine::Add(Sequence aSequence)
{
  aSequence.promptLeft = aSequence.promptTokens;
  aSequence.blocks =
    (aSequence.promptTokens + aSequence.outputTokens) / BatchingModel::kBlockTokens + 1;
  // Higher priorities first, then in order of arrival.
  const auto place = std::find_if(mWaiting.begin(), mWaiting.end(), [&](const Sequence& aOther) {
    return aOther.priority < aSequence.priority;
  });
  mWaiting.insert(place, std::move(aSequence));
}

std::uint32_t FakeEngine::CachedTokens(const Sequence& aSequence) const
{
  const std::vector<std::uint64_t>& hashes = aSequence.prefixHashes;
  std::size_t n = 0;
  while (n < hashes.size() && mCache.contains(hashes[n])) {
    ++n;
  }
  return hashes.empty() ? 0
                        : static_cast<std::uint32_t>(aSequence.promptTokens * n / hashes.size());
}

void FakeEngine::AdmitWaiting()
{
  while (!mWaiting.empty() && mRunning.size() < BatchingModel::kLongestBatch &&
         mUsedBlocks + mWaiting.front().blocks <= BatchingModel::kBlocks) {
    Sequence sequence = std::move(mWaiting.front());
    mWaiting.pop_front();
    // The last prompt token is always computed, since it gives the first output token.
    const std::uint32_t cached = CachedTokens(sequence);
    sequence.promptLeft =
      std::max(1U, sequence.promptTokens - std::min(cached, sequence.promptTokens));
    mUsedBlocks += sequence.blocks;
    mRunning.push_back(std::move(sequence));
  }
}

bool FakeEngine::StartStep(Duration& aLength)
{
  if (mIsStepping || state == routing::EngineState::Down) {
    return false;
  }
  AdmitWaiting();
  if (mRunning.empty()) {
    return false;
  }
  AssignChunks();
  std::uint32_t chunked = 0;
  std::size_t streams = 0;
  std::uint32_t blocks = 0;
  for (std::size_t i = 0; i < mRunning.size(); ++i) {
    const Sequence& sequence = mRunning[i];
    chunked += mChunks[i];
    if (sequence.promptLeft == 0) {
      ++streams;
      blocks += (sequence.promptTokens + sequence.done) / BatchingModel::kBlockTokens + 1;
    }
  }
  mIsStepping = true;
  aLength = FromSeconds(BatchingModel::kStepSeconds + chunked * BatchingModel::kPromptTokenSeconds +
                        static_cast<double>(streams) * BatchingModel::kStreamSeconds +
                        blocks * BatchingModel::kBlockSeconds);
  return true;
}

// Higher priorities first, then in order of arrival.
void FakeEngine::AssignChunks()
{
  mChunks.assign(mRunning.size(), 0);
  mPrompts.clear();
  for (std::size_t i = 0; i < mRunning.size(); ++i) {
    if (mRunning[i].promptLeft > 0) {
      mPrompts.push_back(i);
    }
  }
  std::stable_sort(mPrompts.begin(), mPrompts.end(), [this](std::size_t aLeft, std::size_t aRight) {
    return mRunning[aLeft].priority > mRunning[aRight].priority;
  });
  std::uint32_t budget = BatchingModel::ChunkOf(role);
  for (const std::size_t i : mPrompts) {
    mChunks[i] = std::min(budget, mRunning[i].promptLeft);
    budget -= mChunks[i];
    mRunning[i].isStarted = mRunning[i].isStarted || mChunks[i] > 0;
  }
}

StepResult FakeEngine::EndStep()
{
  StepResult result;
  mIsStepping = false;
  if (mChunks.size() != mRunning.size()) {
    return result; // the engine crashed during the step
  }
  for (std::size_t i = 0; i < mRunning.size(); ++i) {
    Sequence& sequence = mRunning[i];
    if (sequence.promptLeft == 0) {
      ++sequence.done;
    } else if (mChunks[i] > 0) {
      sequence.promptLeft -= mChunks[i];
      if (sequence.promptLeft == 0) {
        StorePrefixes(sequence, result);
        sequence.done = 1;
        result.firstTokens.push_back(sequence);
      }
    }
    if (sequence.done >= sequence.outputTokens) {
      mUsedBlocks -= sequence.blocks;
      result.finished.push_back(sequence);
    }
  }
  if (!result.finished.empty()) {
    std::erase_if(
      mRunning, [](const Sequence& aSequence) { return aSequence.done >= aSequence.outputTokens; });
  }
  return result;
}

void FakeEngine::StorePrefixes(const Sequence& aSequence, StepResult& aResult)
{
  for (const std::uint64_t hash : aSequence.prefixHashes) {
    const auto it = mCache.find(hash);
    if (it != mCache.end()) {
      mCacheOrder.splice(mCacheOrder.end(), mCacheOrder, it->second);
      continue;
    }
    mCache[hash] = mCacheOrder.insert(mCacheOrder.end(), hash);
    aResult.stored.push_back(hash);
    if (mCacheOrder.size() > BatchingModel::kCachedPrefixes) {
      aResult.removed.push_back(mCacheOrder.front());
      mCache.erase(mCacheOrder.front());
      mCacheOrder.pop_front();
    }
  }
}

std::vector<Sequence> FakeEngine::Crash()
{
  std::vector<Sequence> lost = std::move(mRunning);
  lost.insert(lost.end(), mWaiting.begin(), mWaiting.end());
  mRunning.clear();
  mWaiting.clear();
  mChunks.assign(1, 0);
  mUsedBlocks = 0;
  mCache.clear();
  mCacheOrder.clear();
  return lost;
}

std::uint32_t FakeEngine::PromptBacklog(std::uint8_t aPriority) const
{
  std::uint32_t tokens = 0;
  for (const Sequence& sequence : mRunning) {
    tokens += sequence.priority >= aPriority ? sequence.promptLeft : 0;
  }
  for (const Sequence& sequence : mWaiting) {
    tokens += sequence.priority >= aPriority ? sequence.promptLeft : 0;
  }
  return tokens;
}

routing::LoadReport FakeEngine::Report() const
{
  routing::LoadReport report;
  // A request counts as waiting until the first piece of its prompt is computed.
  for (const Sequence& sequence : mRunning) {
    ++(sequence.isStarted ? report.running : report.waiting);
  }
  report.waiting += static_cast<std::uint32_t>(mWaiting.size());
  report.kvBlocksUsed = mUsedBlocks;
  report.kvBlocksTotal = BatchingModel::kBlocks;
  report.role = role;
  report.state = state;
  return report;
}

} // namespace masticstep::bench
