#include "ReportSequence.hpp"

#include <algorithm>

namespace masticstep::gateway {

std::uint64_t ReportSequence::Next(std::uint64_t aReported)
{
  // Reports of one run that arrive over different paths are at most a few seconds out of order, so
  // a number below half of the highest one indicates a restart. If an engine restarts while its
  // numbers are low, its reports may count as newer only after they exceed the old highest number.
  if (aReported < mLast / 2) {
    mBase += mLast;
    mLast = 0;
  }
  mLast = std::max(mLast, aReported);
  return mBase + aReported;
}

} // namespace masticstep::gateway
