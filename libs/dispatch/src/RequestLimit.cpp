#include "masticstep/dispatch/RequestLimit.hpp"

#include <algorithm>

namespace masticstep::dispatch {

namespace {

constexpr double kMaximumTokens = 1.0;
// Answers may arrive in another order than the backend server began them.
constexpr Duration kReordering = Milliseconds(1000);

} // namespace

double RequestLimit::Tokens(Time aNow) const
{
  const double earned = mAllotment->perSecond * ToSeconds(aNow - mFilledAt);
  return std::min(kMaximumTokens, mTokens + earned);
}

void RequestLimit::OnNamed(const RequestAllotment& aAllotment, double aJitter, Time aNow)
{
  mTokens = mAllotment ? Tokens(aNow) : 0.0;
  mFilledAt = aNow;
  mNamedAt = aNow;
  mAllotment = aAllotment;
  mProbeInterval = FromSeconds(ToSeconds(aAllotment.probeInterval) * (0.5 + aJitter));
  mProbeAt = aNow + mProbeInterval;
}

void RequestLimit::OnNotNamed(Time aNow)
{
  if (mAllotment && aNow >= mNamedAt + kReordering) {
    mAllotment.reset();
  }
}

bool RequestLimit::AllowsRequest(Time aNow) const
{
  return !mAllotment || Tokens(aNow) >= 1.0 || aNow >= mProbeAt;
}

void RequestLimit::OnSent(Time aNow)
{
  if (!mAllotment) {
    return;
  }
  mTokens = std::max(Tokens(aNow) - 1.0, 0.0);
  mFilledAt = aNow;
  mProbeAt = aNow + mProbeInterval;
}

} // namespace masticstep::dispatch
