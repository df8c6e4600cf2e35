#include "common/Signal.hpp"

#include <boost/asio/this_coro.hpp>

namespace masticstep::standins {

Awaitable<void> Signal::WaitFor(Duration aSpan)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aSpan);
  mWaiters.insert(&timer);
  ErrorCode ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  mWaiters.erase(&timer);
}

void Signal::NotifyAll()
{
  for (asio::steady_timer* timer : mWaiters) {
    timer->cancel();
  }
}

Awaitable<void> Pause(Duration aSpan)
{
  if (aSpan <= Duration::zero()) {
    co_return;
  }
  asio::steady_timer timer(co_await asio::this_coro::executor, aSpan);
  ErrorCode ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

} // namespace masticstep::standins
