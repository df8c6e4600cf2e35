#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/net/Task.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace masticstep::net {

// Calls a function when an operation takes longer than allowed. The timer is only set again after
// it fired or for an earlier end, because setting it for every relayed token cost more than the
// reads.
class Deadline : public std::enable_shared_from_this<Deadline>
{
public:
  Deadline(const Executor& aExecutor, std::function<void()> aOnExpired);

  void Start(Duration aTimeout);
  void Stop() { mIsActive = false; }
  // Never calls the function again.
  void Detach();
  bool HasExpired() const { return mHasExpired; }
  // Makes HasExpired false again, for an operation whose time-out is no failure.
  void Forgive() { mHasExpired = false; }

private:
  void SetTimer();
  void OnTimer();

  boost::asio::steady_timer mTimer;
  std::function<void()> mOnExpired;
  boost::asio::steady_timer::time_point mEnd;
  boost::asio::steady_timer::time_point mTimerEnd;
  bool mIsActive = false;
  bool mIsTimerSet = false;
  bool mHasExpired = false;
};

} // namespace masticstep::net
