#include "FeedBackoff.hpp"

#include <algorithm>

namespace masticstep::relay {

namespace {

constexpr Duration kInitialDelay = Milliseconds(100);
// A daemon must learn of a backend server's removal soon after the store has recovered.
constexpr Duration kMaximumDelay = Milliseconds(600);
constexpr std::uint32_t kMaximumDoublings = 4;

} // namespace

FeedBackoff::FeedBackoff(std::uint64_t aSeed)
  : mRandom(aSeed)
{
}

Duration FeedBackoff::NextDelay()
{
  const Duration fullDelay = std::min(
    Duration(kInitialDelay * (1LL << std::min(mFailures, kMaximumDoublings))), kMaximumDelay);
  ++mFailures;
  return fullDelay / 2 + FromSeconds(ToSeconds(fullDelay) / 2 * mRandom.Uniform());
}

} // namespace masticstep::relay
