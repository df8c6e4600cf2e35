#pragma once

#include "common/Asio.hpp"

#include "masticstep/base/Time.hpp"

#include <set>

namespace masticstep::standins {

// Condition variable for coroutines on one thread. A notification without waiters is lost, so
// callers check the condition before they wait.
class Signal
{
public:
  // Returns on the next NotifyAll or after the timeout, whichever comes first.
  Awaitable<void> WaitFor(Duration aSpan);
  void NotifyAll();

private:
  std::set<asio::steady_timer*> mWaiters;
};

// Suspends the calling coroutine; returns at once if the duration is not positive.
Awaitable<void> Pause(Duration aSpan);

} // namespace masticstep::standins
