#pragma once

#include "masticstep/base/Random.hpp"
#include "masticstep/base/Time.hpp"

namespace masticstep::relay {

// Exponential backoff for failed calls to the platform, with jitter so that daemons do not retry at
// the same time.
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
