#pragma once

#include "masticstep/base/Random.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::gateway {

// Exponential backoff with jitter for calls to the platform after errors. Performs no I/O.
class WatchBackoff
{
public:
  // Different seeds give different pauses, so that daemons do not retry simultaneously.
  explicit WatchBackoff(std::uint64_t aSeed);

  // Returns the pause after another consecutive error: a random time between half of a bound and
  // the bound, which starts at 500 ms, doubles with each error and is at most 2 s.
  Duration NextPause();
  void OnSuccess();

private:
  Random mRandom;
  Duration mBound;
};

} // namespace masticstep::gateway
