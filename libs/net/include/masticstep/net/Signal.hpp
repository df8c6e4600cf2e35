#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/net/Task.hpp"

#include <boost/asio/steady_timer.hpp>

namespace masticstep::net {

// Lets one coroutine wait until another one has set the signal. Both must run on the same
// single-threaded executor.
class Signal
{
public:
  explicit Signal(const Executor& aExecutor);

  void Set();
  Task<void> Wait();
  // Returns when the signal is set, or after the time.
  Task<void> WaitFor(Duration aTime);
  // Makes further waits wait for the next Set.
  void Reset();

private:
  boost::asio::steady_timer mTimer;
  bool mIsSet = false;
};

} // namespace masticstep::net
