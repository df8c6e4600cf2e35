#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/dispatch/PromptQueue.hpp"
#include "masticstep/net/Task.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <unordered_map>

namespace masticstep::relay {

// No engine was assigned to a prompt.
struct NoEngineError
{
  Duration retryAfter{ 0 };
};

// Lets coroutines wait in the prompt queue.
class AsyncPromptQueue
{
public:
  AsyncPromptQueue(net::Executor aExecutor, dispatch::Dispatcher& aDispatcher);

  // Waits for an engine for the prefill. The dispatcher counts the prompt as sent to the returned
  // engine.
  net::Task<Result<dispatch::PrefillPlacement, NoEngineError>> WaitForEngine(
    dispatch::QueuedPrompt aPrompt);
  // Returns the engine of a prompt that can start now, or nothing. Does not wait.
  std::optional<dispatch::PrefillPlacement> PlaceNow(dispatch::QueuedPrompt aPrompt);
  // Removes a waiting prompt whose caller has disconnected.
  void Cancel(RequestId aId);
  // Releases prompts that can start now. Called when capacity may have become free.
  void ReleaseReady();
  std::size_t WaitingCount() const { return mQueue.Size(); }

private:
  struct Waiter
  {
    explicit Waiter(const net::Executor& aExecutor);

    boost::asio::steady_timer timer;
    std::optional<dispatch::ReleasedPrompt> released;
  };

  void StartTimer();
  void Release();

  const net::Executor mExecutor;
  dispatch::PromptQueue mQueue;
  std::unordered_map<RequestId, std::shared_ptr<Waiter>> mWaiters;
  boost::asio::steady_timer mTimer;
  bool mIsTimerRunning = false;
};

} // namespace masticstep::relay
