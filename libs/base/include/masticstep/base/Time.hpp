#pragma once

#include <chrono>

namespace masticstep {

// Clock tag of every decision library. It has no now(): the caller passes the time in, so that the
// same code runs on a virtual clock and under the worker pool.
struct MonotonicClock
{
  using rep = std::chrono::microseconds::rep;
  using period = std::chrono::microseconds::period;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<MonotonicClock, duration>;
  static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

// Span of time in microseconds.
using Duration = MonotonicClock::duration;

// Point on a monotonic clock in microseconds. Never a wall-clock time.
using Time = MonotonicClock::time_point;

constexpr Duration Microseconds(std::int64_t aCount)
{
  return Duration{ aCount };
}

constexpr Duration Milliseconds(std::int64_t aCount)
{
  return std::chrono::milliseconds{ aCount };
}

constexpr Duration Seconds(std::int64_t aCount)
{
  return std::chrono::seconds{ aCount };
}

// Returns a span as fractional seconds, for rates and statistics.
constexpr double ToSeconds(Duration aSpan)
{
  return std::chrono::duration<double>{ aSpan }.count();
}

// Rounds a span in fractional seconds down to whole microseconds.
constexpr Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>{ aSeconds });
}

} // namespace masticstep
