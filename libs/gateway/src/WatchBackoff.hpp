#pragma once

#include "masticstep/base/Random.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::gateway {

// Pauses between calls to the platform after errors. Without I/O.
class WatchBackoff
{
public:
  // Daemons with different seeds pause for different times.
  explicit WatchBackoff(std::uint64_t aSeed);

  // Returns the pause after one more error in a row: a random time between half of a bound and the
  // bound, which is 500 ms at first, doubles with each error and is at most 2 s.
  Duration NextPause();
  void OnSuccess();

private:
  Random mRandom;
  Duration mBound;
};

} // namespace masticstep::gateway
