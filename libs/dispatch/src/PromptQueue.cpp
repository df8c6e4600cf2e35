#include "masticstep/dispatch/PromptQueue.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::dispatch {

namespace {

// Work that may lie at an engine before more is sent: enough to keep it busy until a report of a
// finished prompt has led to the next one.
constexpr Duration kReadAhead = Milliseconds(50);
// From the end of reading to the first event at the caller.
constexpr Duration kFirstEvent = Milliseconds(40);
// If this many prompts in a row find no engine, the others would find none either.
constexpr std::size_t kMisses = 6;
constexpr Duration kShortestRetryAfter = Milliseconds(200);

} // namespace

PromptQueue::PromptQueue(Dispatcher& aDispatcher)
  : mDispatcher(aDispatcher)
{
}

PromptQueue::Rank PromptQueue::RankOf(const WaitingPrompt& aPrompt, Time aNow) const
{
  const Duration needed = mDispatcher.ExpectedRead(aPrompt.work) + kFirstEvent;
  return { aNow + needed > aPrompt.target, aPrompt.priority, aPrompt.target };
}

Duration PromptQueue::DelayBefore(const Rank& aRank, Time aNow) const
{
  Duration ahead{ 0 };
  ServiceName service;
  for (const WaitingPrompt& prompt : mWaiting) {
    if (RankOf(prompt, aNow) <= aRank) {
      ahead += mDispatcher.ExpectedRead(prompt.work);
    }
  }
  return ahead;
}

std::optional<ReleasedPrompt> PromptQueue::Add(WaitingPrompt aPrompt, Time aNow)
{
  const std::size_t readers = mDispatcher.ReaderCount(aPrompt.work.service);
  if (readers == 0) {
    return ReleasedPrompt{ aPrompt.id, std::nullopt, kShortestRetryAfter };
  }
  // Other daemons have prompts waiting too, so only a part of the engines works for this one.
  const std::size_t daemons = 1 + mDispatcher.Peers(aNow).size();
  const Duration ahead = DelayBefore(RankOf(aPrompt, aNow), aNow);
  const Duration delay =
    ahead * static_cast<std::int64_t>(daemons) / static_cast<std::int64_t>(readers);
  if (aNow + delay > aPrompt.giveUp) {
    return ReleasedPrompt{ aPrompt.id, std::nullopt, std::max(delay, kShortestRetryAfter) };
  }
  mWaiting.push_back(std::move(aPrompt));
  return std::nullopt;
}

void PromptQueue::Remove(RequestId aId)
{
  std::erase_if(mWaiting, [aId](const WaitingPrompt& aPrompt) { return aPrompt.id == aId; });
}

void PromptQueue::Sort(Time aNow)
{
  std::vector<std::pair<Rank, std::size_t>> order;
  for (std::size_t i = 0; i < mWaiting.size(); ++i) {
    order.emplace_back(RankOf(mWaiting[i], aNow), i);
  }
  std::sort(order.begin(), order.end());
  std::vector<WaitingPrompt> sorted;
  sorted.reserve(order.size());
  for (const auto& [rank, index] : order) {
    sorted.push_back(std::move(mWaiting[index]));
  }
  mWaiting = std::move(sorted);
}

std::vector<ReleasedPrompt> PromptQueue::Release(Time aNow)
{
  std::vector<ReleasedPrompt> released;
  if (mWaiting.size() > 1) {
    Sort(aNow);
  }
  std::vector<WaitingPrompt> left;
  std::size_t misses = 0;
  for (WaitingPrompt& prompt : mWaiting) {
    if (aNow >= prompt.giveUp) {
      released.push_back({ prompt.id, std::nullopt, kShortestRetryAfter });
      continue;
    }
    std::optional<PromptPlacement> placement;
    if (misses < kMisses) {
      placement = mDispatcher.PlacePrompt(prompt.work, aNow);
      if (!placement) {
        released.push_back({ prompt.id, std::nullopt, kShortestRetryAfter });
        continue;
      }
    }
    if (!placement || placement->wait > kReadAhead) {
      ++misses;
      left.push_back(std::move(prompt));
      continue;
    }
    mDispatcher.OnSent(placement->engine.id, prompt.id, placement->read, 0, aNow);
    released.push_back({ prompt.id, std::move(placement), Duration::zero() });
  }
  mWaiting = std::move(left);
  return released;
}

} // namespace masticstep::dispatch
