#include "ReportSequence.hpp"

#include <algorithm>

namespace masticstep::gateway {

std::uint64_t ReportSequence::Next(std::uint64_t aReported)
{
  // Reports of one run that took different ways arrive at most a few seconds out of order, so that
  // less than half of the highest number means another run. An engine that restarts early is
  // noticed when it has passed the number.
  if (aReported < mLast / 2) {
    mBase += mLast;
    mLast = 0;
  }
  mLast = std::max(mLast, aReported);
  return mBase + aReported;
}

} // namespace masticstep::gateway
