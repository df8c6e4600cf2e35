#include "masticstep/net/Sleep.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace masticstep::net {

Task<void> Sleep(Duration aSpan)
{
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, aSpan);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace masticstep::net
