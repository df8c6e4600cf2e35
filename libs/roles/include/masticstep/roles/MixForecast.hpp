#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/roles/WorkloadSample.hpp"

namespace masticstep::roles {

// Expected value with a margin that covers most of its short-term noise.
struct Expected
{
  double value = 0.0;
  double margin = 0.0;
};

// Follows the level and trend of one series by double exponential smoothing (Holt).
class TrendFilter
{
public:
  TrendFilter(Duration aLevelTime, Duration aTrendTime);

  void Add(double aValue, Time aNow);
  Expected At(Duration aAhead) const;

private:
  double mLevelTime;
  double mTrendTime;
  bool mHasValue = false;
  Time mLast{};
  double mLevel = 0.0;
  double mTrend = 0.0;
  double mVariance = 0.0;
  double mWeight = 0.0;
};

struct MixExpectation
{
  Expected promptWork;
  Expected outputWork;
};

// Forecast of the work of both kinds.
class MixForecast
{
public:
  MixForecast(Duration aLevelTime, Duration aTrendTime);

  void Add(const WorkloadSample& aSample, Time aNow);
  MixExpectation At(Duration aAhead) const;
  // Prefill share of the work expected, from 0 to 1.
  double PrefillShare(Duration aAhead) const;

private:
  TrendFilter mPrompt;
  TrendFilter mOutput;
};

} // namespace masticstep::roles
