#pragma once

#include <algorithm>

namespace masticstep::wire {

// Maps NaN and values out of range to a plausible value.
inline double ClampSeconds(float aSeconds)
{
  constexpr float kMaximumNeedSeconds = 1e6F;
  return aSeconds > 0.0F ? std::min(aSeconds, kMaximumNeedSeconds) : 0.0F;
}

} // namespace masticstep::wire
