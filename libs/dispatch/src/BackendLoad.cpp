#include "masticstep/dispatch/BackendLoad.hpp"

#include <algorithm>
#include <cmath>

namespace masticstep::dispatch {

namespace {

// Time constant by which the estimate of other daemons' requests decays after a sample.
constexpr Duration kRemoteDecayTime = Milliseconds(300);
constexpr double kMeanSmoothing = 0.1;
// Delay between the end of a prefill and its notice by a daemon in another region.
constexpr Duration kCompletionNoticeDelay = Milliseconds(50);

} // namespace

Duration BackendLoad::SentRequest::RemainingPrefillTime(Time aNow) const
{
  if (aNow > prefillEnd + kCompletionNoticeDelay) {
    return prefillTime;
  }
  return std::clamp(prefillEnd - aNow, Duration::zero(), prefillTime);
}

void BackendLoad::OnSent(RequestId aId, Duration aWait, Duration aPrefillTime,
                         std::uint32_t aTokens, Time aNow)
{
  mLocalRequests[aId] = { aPrefillTime, aTokens, aNow + aWait + aPrefillTime };
  mLocalTokens += aTokens;
  mMeanPrefillSeconds += kMeanSmoothing * (ToSeconds(aPrefillTime) - mMeanPrefillSeconds);
}

void BackendLoad::OnDone(RequestId aId)
{
  const auto found = mLocalRequests.find(aId);
  if (found == mLocalRequests.end()) {
    return;
  }
  mLocalTokens -= found->second.tokens;
  mLocalRequests.erase(found);
}

void BackendLoad::OnSample(const LoadSample& aSample, Time aNow)
{
  const double total = static_cast<double>(aSample.running) + aSample.waiting;
  mRemoteRequests = std::max(0.0, total - static_cast<double>(mLocalRequests.size()));
  mSampledAt = aNow;
}

double BackendLoad::RemoteRequests(Time aNow) const
{
  const double age = ToSeconds(aNow - mSampledAt) / ToSeconds(kRemoteDecayTime);
  return mRemoteRequests * std::exp(-std::max(0.0, age));
}

OutstandingWork BackendLoad::LocalWork(Time aNow) const
{
  Duration prefillTime{ 0 };
  for (const auto& [id, sent] : mLocalRequests) {
    prefillTime += sent.RemainingPrefillTime(aNow);
  }
  return { prefillTime, static_cast<std::uint32_t>(mLocalRequests.size()), mLocalTokens };
}

} // namespace masticstep::dispatch
