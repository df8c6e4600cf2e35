#pragma once

#include "common/Asio.hpp"

#include "masticstep/base/Time.hpp"

#include <set>

namespace masticstep::standins {

// Wakes coroutines that wait for a change. For one thread: check the condition, then wait.
class Signal
{
public:
  // Returns after the next NotifyAll or after the span, whichever comes first.
  Awaitable<void> WaitFor(Duration aSpan);
  void NotifyAll();

private:
  std::set<asio::steady_timer*> mWaiting;
};

// Suspends the coroutine for the span.
Awaitable<void> Pause(Duration aSpan);

} // namespace masticstep::standins
