#include "WatchBackoff.hpp"

#include <algorithm>

namespace masticstep::gateway {

namespace {

constexpr Duration kInitialBound = Milliseconds(500);
// A configuration must be in force 5 s after it was accepted, and a leaving server must get no new
// work after 5 s, so the end of an outage must be detected well before that.
constexpr Duration kMaximumBound = Seconds(2);

} // namespace

WatchBackoff::WatchBackoff(std::uint64_t aSeed)
  : mRandom(aSeed)
  , mBound(kInitialBound)
{
}

Duration WatchBackoff::NextPause()
{
  const Duration half = mBound / 2;
  const Duration pause = half + FromSeconds(ToSeconds(half) * mRandom.Uniform());
  mBound = std::min(2 * mBound, kMaximumBound);
  return pause;
}

void WatchBackoff::OnSuccess()
{
  mBound = kInitialBound;
}

} // namespace masticstep::gateway
