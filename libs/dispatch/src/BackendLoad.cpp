#include "masticstep/dispatch/BackendLoad.hpp"

#include <algorithm>
#include <cmath>

namespace masticstep::dispatch {

namespace {

// The work of other daemons is forgotten at this rate after a sample, down to an even share.
constexpr Duration kOthersFade = Milliseconds(300);
constexpr double kMeanStep = 0.1;

} // namespace

void BackendLoad::OnSent(RequestId aId, Duration aCost, Time aNow)
{
  mOwn[aId] = aCost;
  mBusyUntil = std::max(mBusyUntil, aNow) + aCost;
  mMeanCostSeconds += kMeanStep * (ToSeconds(aCost) - mMeanCostSeconds);
}

void BackendLoad::OnDone(RequestId aId, Time aNow)
{
  if (mOwn.erase(aId) == 0) {
    return;
  }
  Duration left{ 0 };
  for (const auto& [id, cost] : mOwn) {
    left += cost;
  }
  mBusyUntil = std::min(mBusyUntil, aNow + left);
}

void BackendLoad::OnSample(const LoadSample& aSample, Time aNow)
{
  const double total = static_cast<double>(aSample.running) + aSample.waiting;
  mOthers = std::max(0.0, total - static_cast<double>(mOwn.size()));
  mSampled = aNow;
}

double BackendLoad::Others(Time aNow) const
{
  const double age = ToSeconds(aNow - mSampled) / ToSeconds(kOthersFade);
  return mOthers * std::exp(-std::max(0.0, age));
}

Duration BackendLoad::Wait(Time aNow) const
{
  const Duration own = std::max(Duration::zero(), mBusyUntil - aNow);
  return own + FromSeconds(Others(aNow) * mMeanCostSeconds);
}

} // namespace masticstep::dispatch
