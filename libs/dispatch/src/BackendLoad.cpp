#include "masticstep/dispatch/BackendLoad.hpp"

#include <algorithm>
#include <cmath>

namespace masticstep::dispatch {

namespace {

// The work of other daemons is forgotten at this rate after a sample, down to an even share.
constexpr Duration kOthersFade = Milliseconds(300);
constexpr double kMeanStep = 0.1;
// Time from the end of reading to its notice, between regions.
constexpr Duration kNoticeTime = Milliseconds(50);

} // namespace

Duration BackendLoad::Sent::ReadLeft(Time aNow) const
{
  if (aNow > readUntil + kNoticeTime) {
    return read;
  }
  return std::clamp(readUntil - aNow, Duration::zero(), read);
}

void BackendLoad::OnSent(RequestId aId, Duration aWait, Duration aRead, std::uint32_t aTokens,
                         Time aNow)
{
  mOwn[aId] = { aRead, aTokens, aNow + aWait + aRead };
  mTokens += aTokens;
  mMeanReadSeconds += kMeanStep * (ToSeconds(aRead) - mMeanReadSeconds);
}

void BackendLoad::OnDone(RequestId aId)
{
  const auto found = mOwn.find(aId);
  if (found == mOwn.end()) {
    return;
  }
  mTokens -= found->second.tokens;
  mOwn.erase(found);
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
  Duration read{ 0 };
  for (const auto& [id, sent] : mOwn) {
    read += sent.ReadLeft(aNow);
  }
  return { read, static_cast<std::uint32_t>(mOwn.size()), mTokens };
}

} // namespace masticstep::dispatch
