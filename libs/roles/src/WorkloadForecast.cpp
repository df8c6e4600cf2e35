#include "masticstep/roles/WorkloadForecast.hpp"

#include <algorithm>
#include <cmath>

namespace masticstep::roles {

namespace {

// Half-width of the margin, in standard errors of the forecast.
constexpr double kMarginStandardErrors = 1.3;

double SmoothingFactor(double aInterval, double aTimeConstant)
{
  return 1.0 - std::exp(-aInterval / aTimeConstant);
}

} // namespace

TrendFilter::TrendFilter(Duration aLevelTimeConstant, Duration aTrendTimeConstant)
  : mLevelTimeConstant(ToSeconds(aLevelTimeConstant))
  , mTrendTimeConstant(ToSeconds(aTrendTimeConstant))
{
}

void TrendFilter::Add(double aValue, Time aNow)
{
  if (!mHasValue) {
    mHasValue = true;
    mLastTime = aNow;
    mLevel = aValue;
    return;
  }
  const double interval = ToSeconds(aNow - mLastTime);
  if (interval <= 0.0) {
    return;
  }
  mLastTime = aNow;
  const double predicted = mLevel + mTrend * interval;
  const double error = aValue - predicted;
  const double smoothing = SmoothingFactor(interval, mLevelTimeConstant);
  const double level = predicted + smoothing * error;
  mTrend += SmoothingFactor(interval, mTrendTimeConstant) * ((level - mLevel) / interval - mTrend);
  mLevel = level;
  mVariance += SmoothingFactor(interval, mTrendTimeConstant) * (error * error - mVariance);
  mLevelVarianceRatio = smoothing / (2.0 - smoothing);
}

Estimate TrendFilter::Predict(Duration aHorizon) const
{
  // mLevelVarianceRatio is the share of the sample variance that remains in the smoothed level. The
  // error of the trend grows with the forecast horizon.
  const double horizonFactor = 1.0 + ToSeconds(aHorizon) / mLevelTimeConstant;
  const double margin =
    kMarginStandardErrors * std::sqrt(mVariance * mLevelVarianceRatio) * horizonFactor;
  return { std::max(0.0, mLevel + mTrend * ToSeconds(aHorizon)), margin };
}

WorkloadForecast::WorkloadForecast(Duration aLevelTimeConstant, Duration aTrendTimeConstant)
  : mPrompt(aLevelTimeConstant, aTrendTimeConstant)
  , mOutput(aLevelTimeConstant, aTrendTimeConstant)
{
}

void WorkloadForecast::Add(const WorkloadSample& aSample, Time aNow)
{
  mPrompt.Add(aSample.promptWork, aNow);
  mOutput.Add(aSample.outputWork, aNow);
}

WorkloadEstimate WorkloadForecast::Predict(Duration aHorizon) const
{
  return { mPrompt.Predict(aHorizon), mOutput.Predict(aHorizon) };
}

double WorkloadForecast::PrefillShare(Duration aHorizon) const
{
  const WorkloadEstimate predicted = Predict(aHorizon);
  const double sum = predicted.promptWork.value + predicted.outputWork.value;
  return sum <= 0.0 ? 0.0 : predicted.promptWork.value / sum;
}

} // namespace masticstep::roles
