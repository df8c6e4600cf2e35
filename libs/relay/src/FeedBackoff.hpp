#pragma once

#include "masticstep/base/Random.hpp"
#include "masticstep/base/Time.hpp"

namespace masticstep::relay {

// Pauses after failed calls to the platform: growing, with jitter, so that daemons do not return
// together.
class FeedBackoff
{
public:
  explicit FeedBackoff(std::uint64_t aSeed);

  Duration NextDelay();
  void Reset() { mFailures = 0; }

private:
  Random mRandom;
  std::uint32_t mFailures = 0;
};

} // namespace masticstep::relay
