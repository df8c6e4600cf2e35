#include "masticstep/hedging/HedgePolicy.hpp"

#include <algorithm>

namespace masticstep::hedging {

namespace {

// A request is slow after this many times the median latency. With a high quantile in its place, a
// tenth of slow answers would set the time, and without slow ones the usual last twentieth would be
// repeated.
constexpr int kSlowFactor = 3;
constexpr std::size_t kMinimumSamples = 20;
// Second tries that may be saved up for a moment in which many are needed.
constexpr double kMaximumAllowance = 4.0;
// With more of the latest requests slow than this, it is not one server that is.
constexpr double kMaximumSlowShare = 0.34;
constexpr double kSlowSmoothing = 0.08;

} // namespace

HedgePolicy::HedgePolicy(HedgeOptions aOptions)
  : mOptions(aOptions)
{
}

std::optional<Duration> HedgePolicy::DelayOf(const Kind& aKind) const
{
  if (aKind.latencies.size() < kMinimumSamples) {
    return std::nullopt;
  }
  std::vector<Duration> sorted = aKind.latencies;
  const auto median = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), median, sorted.end());
  return kSlowFactor * *median;
}

std::optional<Duration> HedgePolicy::OnSent(const std::string& aKind)
{
  const Kind& kind = mKinds[aKind];
  mAllowance = std::min(kMaximumAllowance, mAllowance + mOptions.share);
  return DelayOf(kind);
}

Withheld HedgePolicy::OnSlow(const std::string& aKind)
{
  Kind& kind = mKinds[aKind];
  kind.slowShare += kSlowSmoothing * (1.0 - kind.slowShare);
  if (kind.latencies.size() < kMinimumSamples) {
    return Withheld::Unmeasured;
  }
  if (kind.slowShare > kMaximumSlowShare) {
    return Withheld::AllSlow;
  }
  if (mAllowance < 1.0) {
    return Withheld::Budget;
  }
  mAllowance -= 1.0;
  return Withheld::None;
}

void HedgePolicy::OnEnd(const std::string& aKind, bool aWasSlow, std::optional<Duration> aLatency)
{
  Kind& kind = mKinds[aKind];
  kind.slowShare -= aWasSlow ? 0.0 : kSlowSmoothing * kind.slowShare;
  if (!aLatency) {
    return;
  }
  if (kind.latencies.size() < kSamples) {
    kind.latencies.push_back(*aLatency);
    return;
  }
  kind.latencies[kind.next] = *aLatency;
  kind.next = (kind.next + 1) % kSamples;
}

} // namespace masticstep::hedging
