#include "masticstep/dispatch/PromptQueue.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::dispatch {

namespace {

// Maximum prefill time queued at an engine before more is sent: enough to keep it busy while the
// completion of one prompt is reported and the next one is sent.
constexpr Duration kMaximumBacklog = Milliseconds(50);
// Time from the end of prefill until the caller receives the first event.
constexpr Duration kFirstEventLatency = Milliseconds(40);
// After this many prompts without a free engine, the remaining ones are not tried, since they would
// find none either.
constexpr std::size_t kMaximumMisses = 6;
constexpr Duration kMinimumRetryAfter = Milliseconds(200);

} // namespace

PromptQueue::PromptQueue(Dispatcher& aDispatcher)
  : mDispatcher(aDispatcher)
{
}

PromptQueue::Rank PromptQueue::RankOf(const QueuedPrompt& aPrompt, Time aNow) const
{
  if (aPrompt.isResumption) {
    return { false, RequestPriority(), aPrompt.arrived };
  }
  const Duration needed = mDispatcher.ExpectedPrefillTime(aPrompt.request) + kFirstEventLatency;
  return { aNow + needed > aPrompt.target, aPrompt.priority, aPrompt.target };
}

Duration PromptQueue::PrefillTimeAhead(const Rank& aRank, Time aNow) const
{
  Duration ahead{ 0 };
  ServiceName service;
  for (const QueuedPrompt& prompt : mQueued) {
    if (RankOf(prompt, aNow) <= aRank) {
      ahead += mDispatcher.ExpectedPrefillTime(prompt.request);
    }
  }
  return ahead;
}

std::optional<ReleasedPrompt> PromptQueue::Add(QueuedPrompt aPrompt, Time aNow)
{
  const std::size_t engines = mDispatcher.PrefillEngineCount(aPrompt.request);
  if (engines == 0) {
    return ReleasedPrompt{ aPrompt.id, std::nullopt, kMinimumRetryAfter };
  }
  // Other daemons have queued prompts too, so only a share of the engines serves this queue.
  const std::size_t daemons = 1 + mDispatcher.ActivePeers(aNow).size();
  const Duration ahead = PrefillTimeAhead(RankOf(aPrompt, aNow), aNow);
  const Duration delay =
    ahead * static_cast<std::int64_t>(daemons) / static_cast<std::int64_t>(engines);
  if (aNow + delay > aPrompt.callerDeadline) {
    return ReleasedPrompt{ aPrompt.id, std::nullopt, std::max(delay, kMinimumRetryAfter) };
  }
  mQueued.push_back(std::move(aPrompt));
  return std::nullopt;
}

void PromptQueue::Remove(RequestId aId)
{
  std::erase_if(mQueued, [aId](const QueuedPrompt& aPrompt) { return aPrompt.id == aId; });
}

void PromptQueue::Sort(Time aNow)
{
  std::vector<std::pair<Rank, std::size_t>> order;
  for (std::size_t i = 0; i < mQueued.size(); ++i) {
    order.emplace_back(RankOf(mQueued[i], aNow), i);
  }
  std::sort(order.begin(), order.end());
  std::vector<QueuedPrompt> sorted;
  sorted.reserve(order.size());
  for (const auto& [rank, index] : order) {
    sorted.push_back(std::move(mQueued[index]));
  }
  mQueued = std::move(sorted);
}

std::optional<PrefillPlacement> PromptQueue::ChooseEngine(const QueuedPrompt& aPrompt, Time aNow)
{
  std::optional<PrefillPlacement> placement =
    mDispatcher.ChoosePrefillEngine(aPrompt.request, aNow);
  const bool isBusy = placement && placement->wait > kMaximumBacklog;
  if (!isBusy || !aPrompt.isResumption) {
    return placement;
  }
  std::optional<PrefillPlacement> other =
    mDispatcher.ChooseDecodeEngineForPrefill(aPrompt.request, aNow);
  return other && other->wait <= kMaximumBacklog ? other : placement;
}

std::vector<ReleasedPrompt> PromptQueue::Release(Time aNow)
{
  std::vector<ReleasedPrompt> released;
  if (mQueued.size() > 1) {
    Sort(aNow);
  }
  std::vector<QueuedPrompt> remaining;
  std::size_t misses = 0;
  for (QueuedPrompt& prompt : mQueued) {
    if (aNow >= prompt.callerDeadline) {
      released.push_back({ prompt.id, std::nullopt, kMinimumRetryAfter });
      continue;
    }
    std::optional<PrefillPlacement> placement;
    if (misses < kMaximumMisses) {
      placement = ChooseEngine(prompt, aNow);
      if (!placement && prompt.isResumption && mDispatcher.AwaitsWriter(prompt.request, aNow)) {
        remaining.push_back(std::move(prompt));
        continue;
      }
      if (!placement) {
        released.push_back({ prompt.id, std::nullopt, kMinimumRetryAfter });
        continue;
      }
    }
    if (!placement || placement->wait > kMaximumBacklog) {
      ++misses;
      remaining.push_back(std::move(prompt));
      continue;
    }
    mDispatcher.OnSent(placement->engine.id, prompt.id, placement->prefillTime, 0, aNow);
    released.push_back({ prompt.id, std::move(placement), Duration::zero() });
  }
  mQueued = std::move(remaining);
  return released;
}

} // namespace masticstep::dispatch
