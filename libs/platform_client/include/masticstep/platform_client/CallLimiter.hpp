#pragma once

#include "masticstep/base/Random.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::platform_client {

struct CallLimiterOptions
{
  // One daemon's share of the platform's 2,000 reads per second, with headroom for the writes of
  // its shards.
  double callsPerSecond = 200.0;
  double burst = 200.0;
  std::uint32_t backoffThreshold = 3; // a single lost response must not block other calls
  Duration initialBackoff = Milliseconds(50);
  Duration maximumBackoff = Seconds(2);
};

// Limits the rate of calls to the platform with a token bucket and blocks calls with exponential
// backoff after repeated failures. Performs no I/O and takes the time as a parameter, so that it
// runs on any clock.
class CallLimiter
{
public:
  CallLimiter(CallLimiterOptions aOptions, std::uint64_t aSeed);

  // Returns whether a call may be sent now. If so, takes a token from the bucket.
  bool TryAcquire(Time aNow);
  // Resets the failure count and ends a backoff.
  void OnResponse();
  // Counts a call that got no response or was refused. From backoffThreshold consecutive failures
  // on, calls are blocked for an exponentially growing time with jitter.
  void OnFailure(Time aNow);

private:
  CallLimiterOptions mOptions;
  Random mRandom;
  double mTokens;
  Time mLastRefill{};
  Time mBlockedUntil{};
  std::uint32_t mFailures = 0;
};

} // namespace masticstep::platform_client
