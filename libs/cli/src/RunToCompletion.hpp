#pragma once

#include "masticstep/net/Task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <optional>
#include <utility>

namespace masticstep {

// Runs one coroutine to completion on the calling thread and returns its result. Operator commands
// run a single operation at a time and need no worker pool.
template <class T>
T RunToCompletion(boost::asio::io_context& aContext, net::Task<T> aTask)
{
  std::optional<T> result;
  std::exception_ptr failure;
  boost::asio::co_spawn(aContext, std::move(aTask),
                        [&result, &failure](std::exception_ptr aFailure, T aValue) {
                          failure = std::move(aFailure);
                          result.emplace(std::move(aValue));
                        });
  while (!result.has_value() && aContext.run_one() > 0) {
  }
  if (failure) {
    std::rethrow_exception(failure);
  }
  return std::move(*result);
}

} // namespace masticstep
