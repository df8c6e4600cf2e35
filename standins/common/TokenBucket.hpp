#pragma once

#include "masticstep/base/Time.hpp"

namespace masticstep::standins {

// Token bucket rate limiter. The bucket holds the tokens of 250 ms, at least one.
class TokenBucket
{
public:
  explicit TokenBucket(double aRatePerSecond);

  void SetRate(double aRatePerSecond);
  // Takes one token; returns false if the bucket is empty.
  bool Take(Time aNow);

private:
  double mRate;
  double mTokens;
  Time mUpdated;
};

// Current time of the monotonic clock.

Time Now();

} // namespace masticstep::standins
