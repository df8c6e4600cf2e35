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
struct NoEngine
{
  Duration retryAfter{ 0 };
};

// Makes requests wait in the prompt queue.
class PromptGate
{
public:
  PromptGate(net::Executor aExecutor, dispatch::Dispatcher& aDispatcher);

  // Waits for an engine that reads the prompt; the engine counts as used then.
  net::Task<Result<dispatch::PrefillPlacement, NoEngine>> Enter(dispatch::QueuedPrompt aPrompt);
  // The caller of a waiting request has left.
  void Leave(RequestId aId);
  // Engines may have room again.
  void Pump();
  std::size_t Waiting() const { return mQueue.Size(); }

private:
  struct Waiter
  {
    explicit Waiter(const net::Executor& aExecutor);

    boost::asio::steady_timer timer;
    std::optional<dispatch::ReleasedPrompt> released;
  };

  void ArmTimer();

  const net::Executor mExecutor;
  dispatch::PromptQueue mQueue;
  std::unordered_map<RequestId, std::shared_ptr<Waiter>> mWaiters;
  boost::asio::steady_timer mTimer;
  bool mIsArmed = false;
};

} // namespace masticstep::relay
