#pragma once

#include "masticstep/base/Time.hpp"

namespace masticstep::standins {

// Limits calls to a rate, with a burst of a quarter of a second.
class TokenBucket
{
public:
  explicit TokenBucket(double aRatePerSecond);

  void SetRate(double aRatePerSecond);
  // Takes one token; false if there is none.
  bool Take(Time aNow);

private:
  double mRate;
  double mTokens;
  Time mUpdated;
};

// Reads the monotonic clock.
Time Now();

} // namespace masticstep::standins
