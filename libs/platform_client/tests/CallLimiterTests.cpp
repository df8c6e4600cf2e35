#include "masticstep/platform_client/CallLimiter.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::platform_client;

// Guards against one daemon using up the platform's rate limit.
MASTICSTEP_TEST("calls over the rate limit are rejected", "[platform_client]")
{
  CallLimiter limiter({ .callsPerSecond = 10.0, .burst = 5.0 }, 1);
  std::size_t admitted = 0;
  for (std::int64_t i = 0; i <= 1000; ++i) {
    admitted += limiter.TryAcquire(Time{ Milliseconds(i) }) ? 1 : 0;
  }
  CHECK_EQUAL(15U, admitted);
}

// Guards against daemons that all retry at once after an outage, and against an unbounded backoff.
MASTICSTEP_TEST("backoff grows with jitter and ends with a response", "[platform_client]")
{
  CallLimiter limiter({}, 1);
  Time now{ Seconds(1) };
  limiter.OnFailure(now);
  limiter.OnFailure(now);
  CHECK_TRUE(limiter.TryAcquire(now));
  for (int i = 0; i < 20; ++i) {
    limiter.OnFailure(now);
  }
  CHECK_FALSE(limiter.TryAcquire(now + Milliseconds(999)));
  CHECK_TRUE(limiter.TryAcquire(now + Seconds(2)));
  limiter.OnFailure(now);
  limiter.OnResponse();
  CHECK_TRUE(limiter.TryAcquire(now + Seconds(2)));
}
