#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>

namespace masticstep::standins {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
template <class T>
using Awaitable = asio::awaitable<T>;

} // namespace masticstep::standins
