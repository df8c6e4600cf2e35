#include "masticstep/dispatch/RetryBudget.hpp"

#include <algorithm>

namespace masticstep::dispatch {

namespace {

constexpr Duration kBucketWidth = Milliseconds(500);
// Share of the ratio that is used, since the limit must hold for any window, including those that
// begin where requests are fewer.
constexpr double kRatioSafetyFactor = 0.7;
// Largest share of the slack that one daemon may use, which is at least one retry.
constexpr double kMaximumSlackShare = 1.0 / 64.0;
// Share of the slack that all daemons together use; some daemons may not be known yet.
constexpr double kSlackSafetyFactor = 0.8;

} // namespace

RetryBudget::RetryBudget(RetryBounds aBounds)
  : mBounds(aBounds)
{
}

void RetryBudget::SetBounds(RetryBounds aBounds)
{
  mBounds = aBounds;
}

RetryBudget::Window& RetryBudget::WindowOf(const ServiceName& aService, Time aNow)
{
  Window& window = mWindows[aService];
  while (!window.buckets.empty() && window.buckets.front().begin + mBounds.window < aNow) {
    window.requests -= window.buckets.front().requests;
    window.retries -= window.buckets.front().retries;
    window.buckets.pop_front();
  }
  if (window.buckets.empty() || window.buckets.back().begin + kBucketWidth <= aNow) {
    window.buckets.push_back({ aNow, 0, 0 });
  }
  return window;
}

double RetryBudget::Allowance(const Window& aWindow) const
{
  const double daemons = static_cast<double>(std::max<std::size_t>(mDaemonCount, 1));
  const double share = std::min(kMaximumSlackShare, kSlackSafetyFactor / daemons);
  return mBounds.ratio * kRatioSafetyFactor * static_cast<double>(aWindow.requests) +
         std::max(1.0, mBounds.slack * share);
}

void RetryBudget::SetDaemonCount(std::size_t aCount)
{
  mDaemonCount = aCount;
}

void RetryBudget::OnRequest(const ServiceName& aService, Time aNow)
{
  Window& window = WindowOf(aService, aNow);
  ++window.requests;
  ++window.buckets.back().requests;
}

bool RetryBudget::Allows(const ServiceName& aService, Time aNow, std::uint32_t aCount)
{
  const Window& window = WindowOf(aService, aNow);
  return static_cast<double>(window.retries + aCount) <= Allowance(window);
}

bool RetryBudget::TryAcquire(const ServiceName& aService, Time aNow, std::uint32_t aCount)
{
  if (!Allows(aService, aNow, aCount)) {
    return false;
  }
  OnRetry(aService, aNow, aCount);
  return true;
}

void RetryBudget::OnRetry(const ServiceName& aService, Time aNow, std::uint32_t aCount)
{
  Window& window = WindowOf(aService, aNow);
  window.retries += aCount;
  window.buckets.back().retries += aCount;
}

} // namespace masticstep::dispatch
