#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/roles/WorkloadSample.hpp"

namespace masticstep::roles {

// Predicted value with a margin that covers most of its short-term noise.
struct Estimate
{
  double value = 0.0;
  double margin = 0.0;
};

// Tracks the level and trend of one time series by double exponential smoothing (Holt's method).
class TrendFilter
{
public:
  TrendFilter(Duration aLevelTimeConstant, Duration aTrendTimeConstant);

  void Add(double aValue, Time aNow);
  Estimate Predict(Duration aHorizon) const;

private:
  double mLevelTimeConstant;
  double mTrendTimeConstant;
  bool mHasValue = false;
  Time mLastTime{};
  double mLevel = 0.0;
  double mTrend = 0.0;
  double mVariance = 0.0;
  double mLevelVarianceRatio = 0.0;
};

struct WorkloadEstimate
{
  Estimate promptWork;
  Estimate outputWork;
};

// Forecasts prompt work and output work.
class WorkloadForecast
{
public:
  WorkloadForecast(Duration aLevelTimeConstant, Duration aTrendTimeConstant);

  void Add(const WorkloadSample& aSample, Time aNow);
  WorkloadEstimate Predict(Duration aHorizon) const;
  // Returns the share of prompt work in the predicted work, from 0 to 1.
  double PrefillShare(Duration aHorizon) const;

private:
  TrendFilter mPrompt;
  TrendFilter mOutput;
};

} // namespace masticstep::roles
