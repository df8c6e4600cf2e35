#include "masticstep/net/Alarm.hpp"

#include "masticstep/net/Clock.hpp"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace masticstep::net {

struct Alarm::State
{
  boost::asio::steady_timer timer;
  std::function<void()> callback;
};

Alarm::Alarm(const Executor& aExecutor, Time aAt, std::function<void()> aCallback)
  : mState(std::make_shared<State>(
      State{ boost::asio::steady_timer(aExecutor, aAt - Now()), std::move(aCallback) }))
{
  mState->timer.async_wait([state = mState](boost::system::error_code aError) {
    if (!aError && state->callback) {
      std::exchange(state->callback, nullptr)();
    }
  });
}

Alarm::~Alarm()
{
  mState->callback = nullptr;
  mState->timer.cancel();
}

} // namespace masticstep::net
