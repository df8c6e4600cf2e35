#include "AsyncPromptQueue.hpp"

#include "masticstep/net/Clock.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace masticstep::relay {

namespace asio = boost::asio;

namespace {

// Polls, since capacity may also become free at engines whose work is known only from reports of
// other daemons.
constexpr Duration kReleaseInterval = Milliseconds(10);

} // namespace

AsyncPromptQueue::Waiter::Waiter(const net::Executor& aExecutor)
  : timer(aExecutor, asio::steady_timer::time_point::max())
{
}

AsyncPromptQueue::AsyncPromptQueue(net::Executor aExecutor, dispatch::Dispatcher& aDispatcher)
  : mExecutor(std::move(aExecutor))
  , mQueue(aDispatcher)
  , mTimer(mExecutor)
{
}

net::Task<Result<dispatch::PrefillPlacement, NoEngineError>> AsyncPromptQueue::WaitForEngine(
  dispatch::QueuedPrompt aPrompt)
{
  const RequestId id = aPrompt.id;
  const std::shared_ptr<Waiter> waiter = std::make_shared<Waiter>(mExecutor);
  mWaiters[id] = waiter;
  waiter->released = mQueue.Add(std::move(aPrompt), net::Now());
  ReleaseReady();
  if (!waiter->released) {
    co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  mWaiters.erase(id);
  if (!waiter->released || !waiter->released->placement) {
    co_return Failure(
      NoEngineError{ waiter->released ? waiter->released->retryAfter : Duration::zero() });
  }
  co_return *waiter->released->placement;
}

std::optional<dispatch::PrefillPlacement> AsyncPromptQueue::PlaceNow(dispatch::QueuedPrompt aPrompt)
{
  const RequestId id = aPrompt.id;
  const std::shared_ptr<Waiter> waiter = std::make_shared<Waiter>(mExecutor);
  mWaiters[id] = waiter;
  waiter->released = mQueue.Add(std::move(aPrompt), net::Now());
  Release();
  mQueue.Remove(id);
  mWaiters.erase(id);
  return waiter->released ? waiter->released->placement : std::nullopt;
}

void AsyncPromptQueue::Cancel(RequestId aId)
{
  mQueue.Remove(aId);
  const auto found = mWaiters.find(aId);
  if (found != mWaiters.end()) {
    found->second->timer.cancel();
  }
}

void AsyncPromptQueue::ReleaseReady()
{
  if (mQueue.IsEmpty()) {
    return;
  }
  Release();
  StartTimer();
}

void AsyncPromptQueue::Release()
{
  for (dispatch::ReleasedPrompt& released : mQueue.Release(net::Now())) {
    const auto found = mWaiters.find(released.id);
    if (found != mWaiters.end()) {
      found->second->released = std::move(released);
      found->second->timer.cancel();
    }
  }
}

void AsyncPromptQueue::StartTimer()
{
  if (mIsTimerRunning || mQueue.IsEmpty()) {
    return;
  }
  mIsTimerRunning = true;
  mTimer.expires_after(kReleaseInterval);
  mTimer.async_wait([this](boost::system::error_code aError) {
    mIsTimerRunning = false;
    if (!aError) {
      ReleaseReady();
    }
  });
}

} // namespace masticstep::relay
