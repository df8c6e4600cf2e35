#include "masticstep/dispatch/RetryBudget.hpp"

#include <algorithm>

namespace masticstep::dispatch {

namespace {

constexpr Duration kSlice = Milliseconds(500);
// Part of the ratio that is used: windows of the bound may begin where requests are fewer.
constexpr double kUsedShare = 0.7;
// A daemon uses this part of the slack, and at least one send.
constexpr double kSlackPart = 1.0 / 64.0;

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
  while (!window.slices.empty() && window.slices.front().begin + mBounds.window < aNow) {
    window.requests -= window.slices.front().requests;
    window.repeats -= window.slices.front().repeats;
    window.slices.pop_front();
  }
  if (window.slices.empty() || window.slices.back().begin + kSlice <= aNow) {
    window.slices.push_back({ aNow, 0, 0 });
  }
  return window;
}

double RetryBudget::Allowance(const Window& aWindow) const
{
  return mBounds.ratio * kUsedShare * static_cast<double>(aWindow.requests) +
         std::max(1.0, mBounds.slack * kSlackPart);
}

void RetryBudget::OnRequest(const ServiceName& aService, Time aNow)
{
  Window& window = WindowOf(aService, aNow);
  ++window.requests;
  ++window.slices.back().requests;
}

bool RetryBudget::TryTake(const ServiceName& aService, Time aNow)
{
  const Window& window = WindowOf(aService, aNow);
  if (static_cast<double>(window.repeats) + 1.0 > Allowance(window)) {
    return false;
  }
  OnRepeat(aService, aNow);
  return true;
}

void RetryBudget::OnRepeat(const ServiceName& aService, Time aNow)
{
  Window& window = WindowOf(aService, aNow);
  ++window.repeats;
  ++window.slices.back().repeats;
}

} // namespace masticstep::dispatch
