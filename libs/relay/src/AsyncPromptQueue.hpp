#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/dispatch/PromptQueue.hpp"
#include "masticstep/net/Task.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <unordered_map>

namespace masticstep::relay {

// Why a prompt got no engine.
struct NoEngineError
{
  Duration retryAfter{ 0 };
};

// Makes requests wait in the prompt queue.
class AsyncPromptQueue
{
public:
  AsyncPromptQueue(net::Executor aExecutor, dispatch::Dispatcher& aDispatcher);

  // Waits for an engine that reads the prompt; the engine counts as used then.
  net::Task<Result<dispatch::PromptPlacement, NoEngineError>> WaitForEngine(
    dispatch::WaitingPrompt aPrompt);
  // The caller of a waiting request has left.
  void Cancel(RequestId aId);
  // Engines may have room again.
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

  const net::Executor mExecutor;
  dispatch::PromptQueue mQueue;
  std::unordered_map<RequestId, std::shared_ptr<Waiter>> mWaiters;
  boost::asio::steady_timer mTimer;
  bool mIsTimerRunning = false;
};

} // namespace masticstep::relay
