#pragma once

#include <tl/expected.hpp>

#include <type_traits>
#include <utility>

namespace masticstep {

// Value of type T, or the error E of the layer that failed.
template <class T, class E>
using Result = tl::expected<T, E>;

// Wraps an error for returning it as a Result.
template <class E>
tl::unexpected<std::decay_t<E>> Failure(E&& aError)
{
  return tl::unexpected<std::decay_t<E>>{ std::forward<E>(aError) };
}

} // namespace masticstep
