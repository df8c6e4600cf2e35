#pragma once

#include "masticstep/net/Task.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace masticstep::net {

// Repeats a step while it returns true, at first at once.
class CallerProbe : public std::enable_shared_from_this<CallerProbe>
{
public:
  CallerProbe(const Executor& aExecutor, std::function<bool()> aStep);

  void Start();
  // Never calls the step again.
  void Stop();

private:
  void Step();

  boost::asio::steady_timer mTimer;
  std::function<bool()> mStep;
};

} // namespace masticstep::net
