#pragma once

#include <compare>
#include <cstdint>

namespace masticstep::orders {

// Wall-clock time of a host, which may be inaccurate. It is compared only with the dates in
// idempotency keys, never with the monotonic Time.
struct WallTime
{
  std::int64_t milliseconds = 0; // since 1970-01-01 UTC

  std::strong_ordering operator<=>(const WallTime&) const = default;
};

} // namespace masticstep::orders
