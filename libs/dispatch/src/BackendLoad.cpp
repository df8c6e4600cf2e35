#include "masticstep/dispatch/BackendLoad.hpp"

#include <algorithm>
#include <cmath>

namespace masticstep::dispatch {

namespace {

// The work of other daemons is forgotten at this rate after a sample, down to an even share.
constexpr Duration kOthersFade = Milliseconds(300);
constexpr double kMeanStep = 0.1;

} // namespace

void BackendLoad::OnSent(RequestId aId, Duration aRead, std::uint32_t aTokens, Time aNow)
{
  mOwn[aId] = { aRead, aTokens };
  mTokens += aTokens;
  mBusyUntil = std::max(mBusyUntil, aNow) + aRead;
  mMeanReadSeconds += kMeanStep * (ToSeconds(aRead) - mMeanReadSeconds);
}

void BackendLoad::OnDone(RequestId aId, Time aNow)
{
  const auto found = mOwn.find(aId);
  if (found == mOwn.end()) {
    return;
  }
  mTokens -= found->second.tokens;
  mOwn.erase(found);
  Duration left{ 0 };
  for (const auto& [id, sent] : mOwn) {
    left += sent.read;
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

Work BackendLoad::Own(Time aNow) const
{
  return { std::max(Duration::zero(), mBusyUntil - aNow), static_cast<std::uint32_t>(mOwn.size()),
           mTokens };
}

} // namespace masticstep::dispatch
