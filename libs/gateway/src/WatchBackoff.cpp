#include "WatchBackoff.hpp"

#include <algorithm>

namespace masticstep::gateway {

namespace {

constexpr Duration kFirstBound = Milliseconds(500);
// A configuration must be in force 5 s after it was accepted, and a leaving server must get no new
// work after 5 s, so that an outage that has ended must be noticed well before.
constexpr Duration kLongestBound = Seconds(2);

} // namespace

WatchBackoff::WatchBackoff(std::uint64_t aSeed)
  : mRandom(aSeed)
  , mBound(kFirstBound)
{
}

Duration WatchBackoff::NextPause()
{
  const Duration half = mBound / 2;
  const Duration pause = half + FromSeconds(ToSeconds(half) * mRandom.Uniform());
  mBound = std::min(2 * mBound, kLongestBound);
  return pause;
}

void WatchBackoff::OnSuccess()
{
  mBound = kFirstBound;
}

} // namespace masticstep::gateway
