#include "FeedPause.hpp"

#include <algorithm>

namespace masticstep::relay {

namespace {

constexpr Duration kFirst = Milliseconds(100);
// A daemon must know of a leaving backend server soon after the store is back.
constexpr Duration kLongest = Milliseconds(600);
constexpr std::uint32_t kMaximumDoublings = 4;

} // namespace

FeedPause::FeedPause(std::uint64_t aSeed)
  : mRandom(aSeed)
{
}

Duration FeedPause::Next()
{
  const Duration whole =
    std::min(Duration(kFirst * (1LL << std::min(mFailures, kMaximumDoublings))), kLongest);
  ++mFailures;
  return whole / 2 + FromSeconds(ToSeconds(whole) / 2 * mRandom.Uniform());
}

} // namespace masticstep::relay
