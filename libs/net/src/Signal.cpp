#include "masticstep/net/Signal.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace masticstep::net {

namespace asio = boost::asio;

Signal::Signal(const Executor& aExecutor)
  : mTimer(aExecutor, asio::steady_timer::time_point::max())
{
}

void Signal::Set()
{
  mIsSet = true;
  mTimer.cancel();
}

Task<void> Signal::Wait()
{
  if (!mIsSet) {
    co_await mTimer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

Task<void> Signal::WaitFor(Duration aTime)
{
  if (mIsSet) {
    co_return;
  }
  mTimer.expires_after(aTime);
  co_await mTimer.async_wait(asio::as_tuple(asio::use_awaitable));
  mTimer.expires_at(asio::steady_timer::time_point::max());
}

void Signal::Reset()
{
  mIsSet = false;
}

} // namespace masticstep::net
