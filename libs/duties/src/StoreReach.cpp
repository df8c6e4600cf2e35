#include "masticstep/duties/StoreReach.hpp"

namespace masticstep::duties {

void StoreReach::OnSent(Time aNow)
{
  if (!mUnansweredSince) {
    mUnansweredSince = aNow;
  }
}

void StoreReach::OnAnswered(Time aNow)
{
  mRecoveries += IsLost(aNow) ? 1 : 0;
  mUnansweredSince.reset();
}

bool StoreReach::IsLost(Time aNow) const
{
  return mUnansweredSince && aNow >= *mUnansweredSince + kMaximumSilence;
}

} // namespace masticstep::duties
