#pragma once

#include "masticstep/duties/UnixTime.hpp"

#include <cstdint>

namespace masticstep::duties {

// Number of a window of the time of day; window 0 begins with the year 1970.
using WindowNumber = std::int64_t;

// Divides the time of day into windows of equal length.
class UsageWindows
{
public:
  // The length must be greater than zero.
  explicit UsageWindows(Duration aLength)
    : mLength(aLength)
  {
  }

  WindowNumber At(UnixTime aTime) const { return aTime.time_since_epoch() / mLength; }
  UnixTime EndOf(WindowNumber aWindow) const { return UnixTime((aWindow + 1) * mLength); }
  Duration Length() const { return mLength; }

private:
  Duration mLength;
};

} // namespace masticstep::duties
