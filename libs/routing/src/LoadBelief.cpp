#include "LoadBelief.hpp"

#include <algorithm>

namespace masticstep::routing {

namespace {

// Bounds memory when reports stop; the two oldest changes are then joined.
constexpr std::size_t kMaximumChanges = 256;

void AddTo(EngineLoad& aSum, const EngineLoad& aChange)
{
  aSum.running += aChange.running;
  aSum.waitingTokens += aChange.waitingTokens;
  aSum.usedBlocks += aChange.usedBlocks;
}

} // namespace

LoadBelief::LoadBelief(std::uint32_t aTotalBlocks)
  : mTotalBlocks(aTotalBlocks)
{
}

void LoadBelief::Add(const EngineLoad& aChange, Time aNow)
{
  AddTo(mSince, aChange);
  mChanges.push_back({ aNow, aChange });
  if (mChanges.size() <= kMaximumChanges) {
    return;
  }
  const EngineLoad oldest = mChanges.front().load;
  mChanges.pop_front();
  AddTo(mChanges.front().load, oldest);
}

bool LoadBelief::OnReport(const LoadReport& aReport, double aMeanPromptTokens, Time aNow)
{
  if (aReport.sequence <= mSequence) {
    return false;
  }
  mSequence = aReport.sequence;
  const Time taken = aNow - aReport.age;
  mReported.running = aReport.running + aReport.waiting;
  mReported.waitingTokens = aReport.waiting * aMeanPromptTokens;
  mReported.usedBlocks = aReport.kvBlocksUsed;
  if (aReport.kvBlocksTotal > 0) {
    mTotalBlocks = aReport.kvBlocksTotal;
  }
  while (!mChanges.empty() && mChanges.front().time <= taken) {
    mChanges.pop_front();
  }
  mSince = EngineLoad{};
  for (const Change& change : mChanges) {
    AddTo(mSince, change.load);
  }
  return true;
}

EngineLoad LoadBelief::Load() const
{
  return { std::max(0.0, mReported.running + mSince.running),
           std::max(0.0, mReported.waitingTokens + mSince.waitingTokens),
           std::clamp(mReported.usedBlocks + mSince.usedBlocks, 0.0, mTotalBlocks) };
}

} // namespace masticstep::routing
