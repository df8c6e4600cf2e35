#include "LoadEstimate.hpp"

#include <algorithm>

namespace masticstep::routing {

namespace {

// Bounds memory when reports stop. The two oldest changes are merged when it is exceeded.
constexpr std::size_t kMaximumChanges = 256;

void AddTo(EngineLoad& aSum, const EngineLoad& aChange)
{
  aSum.running += aChange.running;
  aSum.waitingTokens += aChange.waitingTokens;
  aSum.usedBlocks += aChange.usedBlocks;
}

} // namespace

LoadEstimate::LoadEstimate(std::uint32_t aTotalBlocks)
  : mTotalBlocks(aTotalBlocks)
{
}

void LoadEstimate::Add(const EngineLoad& aChange, Time aNow)
{
  AddTo(mChangeSinceReport, aChange);
  mChanges.push_back({ aNow, aChange });
  if (mChanges.size() <= kMaximumChanges) {
    return;
  }
  const EngineLoad oldest = mChanges.front().load;
  mChanges.pop_front();
  AddTo(mChanges.front().load, oldest);
}

bool LoadEstimate::OnReport(const LoadReport& aReport, double aMeanPromptTokens, Time aNow)
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
  mChangeSinceReport = EngineLoad{};
  for (const Change& change : mChanges) {
    AddTo(mChangeSinceReport, change.load);
  }
  return true;
}

EngineLoad LoadEstimate::Load() const
{
  return { std::max(0.0, mReported.running + mChangeSinceReport.running),
           std::max(0.0, mReported.waitingTokens + mChangeSinceReport.waitingTokens),
           std::clamp(mReported.usedBlocks + mChangeSinceReport.usedBlocks, 0.0, mTotalBlocks) };
}

} // namespace masticstep::routing
