#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/net/Task.hpp"

#include <functional>
#include <memory>

namespace masticstep::net {

// Calls a function once at a time, on an executor, unless it is destroyed before. Must be destroyed
// on that executor.
class Alarm
{
public:
  Alarm(const Executor& aExecutor, Time aAt, std::function<void()> aCallback);
  ~Alarm();
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace masticstep::net
