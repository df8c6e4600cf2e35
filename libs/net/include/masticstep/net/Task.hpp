#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace masticstep::net {

// Coroutine of the I/O shell.
template <class T>
using Task = boost::asio::awaitable<T>;

using Executor = boost::asio::any_io_executor;

} // namespace masticstep::net
