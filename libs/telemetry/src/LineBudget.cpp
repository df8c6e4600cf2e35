#include "LineBudget.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::telemetry {

namespace {

// Part of a second's lines that only lines about failures may use.
constexpr double kReserve = 0.25;

} // namespace

LineBudget::LineBudget(double aLinesPerSecond)
  : mLinesPerSecond(aLinesPerSecond)
  , mTokens(aLinesPerSecond)
{
}

bool LineBudget::Admit(bool aIsFailure, Time aNow)
{
  const double filled = mTokens + ToSeconds(aNow - mFilled) * mLinesPerSecond;
  mTokens = std::clamp(filled, 0.0, mLinesPerSecond);
  mFilled = aNow;
  const double floor = aIsFailure ? 1.0 : 1.0 + kReserve * mLinesPerSecond;
  if (mTokens < floor) {
    ++mDropped;
    return false;
  }
  mTokens -= 1.0;
  return true;
}

std::uint64_t LineBudget::TakeDropped()
{
  return std::exchange(mDropped, 0);
}

} // namespace masticstep::telemetry
