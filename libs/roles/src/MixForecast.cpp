#include "masticstep/roles/MixForecast.hpp"

#include <algorithm>
#include <cmath>

namespace masticstep::roles {

namespace {

// Standard errors of the forecast that the margin spans on either side.
constexpr double kMarginErrors = 1.3;

double Step(double aSpan, double aTime)
{
  return 1.0 - std::exp(-aSpan / aTime);
}

} // namespace

TrendFilter::TrendFilter(Duration aLevelTime, Duration aTrendTime)
  : mLevelTime(ToSeconds(aLevelTime))
  , mTrendTime(ToSeconds(aTrendTime))
{
}

void TrendFilter::Add(double aValue, Time aNow)
{
  if (!mHasValue) {
    mHasValue = true;
    mLast = aNow;
    mLevel = aValue;
    return;
  }
  const double span = ToSeconds(aNow - mLast);
  if (span <= 0.0) {
    return;
  }
  mLast = aNow;
  const double expected = mLevel + mTrend * span;
  const double error = aValue - expected;
  const double step = Step(span, mLevelTime);
  const double level = expected + step * error;
  mTrend += Step(span, mTrendTime) * ((level - mLevel) / span - mTrend);
  mLevel = level;
  mVariance += Step(span, mTrendTime) * (error * error - mVariance);
  mWeight = step / (2.0 - step);
}

Expected TrendFilter::At(Duration aAhead) const
{
  // Part of the sample variance that is left in the level of exponential smoothing. The trend's
  // error grows with the span ahead.
  const double ahead = 1.0 + ToSeconds(aAhead) / mLevelTime;
  const double margin = kMarginErrors * std::sqrt(mVariance * mWeight) * ahead;
  return { std::max(0.0, mLevel + mTrend * ToSeconds(aAhead)), margin };
}

MixForecast::MixForecast(Duration aLevelTime, Duration aTrendTime)
  : mPrompt(aLevelTime, aTrendTime)
  , mOutput(aLevelTime, aTrendTime)
{
}

void MixForecast::Add(const WorkloadSample& aSample, Time aNow)
{
  mPrompt.Add(aSample.promptWork, aNow);
  mOutput.Add(aSample.outputWork, aNow);
}

MixExpectation MixForecast::At(Duration aAhead) const
{
  return { mPrompt.At(aAhead), mOutput.At(aAhead) };
}

double MixForecast::PrefillShare(Duration aAhead) const
{
  const MixExpectation expected = At(aAhead);
  const double sum = expected.promptWork.value + expected.outputWork.value;
  return sum <= 0.0 ? 0.0 : expected.promptWork.value / sum;
}

} // namespace masticstep::roles
