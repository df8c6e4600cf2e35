#include "masticstep/dispatch/EnginePace.hpp"

#include <algorithm>
#include <cmath>

namespace masticstep::dispatch {

namespace {

// A faulty server must neither attract nor lose all work.
constexpr double kLowestFactor = 0.25;
constexpr double kHighestFactor = 8.0;
constexpr double kAverageSmoothing = 0.15;
// Time constant by which a figure loses its weight: about the length of a slow moment.
constexpr Duration kMomentTime = Milliseconds(400);

} // namespace

void EnginePace::OnFigure(double aFactor, Time aNow)
{
  mLatest = std::clamp(aFactor, kLowestFactor, kHighestFactor);
  mLatestAt = aNow;
  mAverage += kAverageSmoothing * (mLatest - mAverage);
}

double EnginePace::FactorAt(Time aNow) const
{
  const double age = std::max(0.0, ToSeconds(aNow - mLatestAt) / ToSeconds(kMomentTime));
  return mAverage + (mLatest - mAverage) * std::exp(-age);
}

} // namespace masticstep::dispatch
