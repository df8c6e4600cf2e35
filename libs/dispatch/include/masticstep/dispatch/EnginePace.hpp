#pragma once

#include "masticstep/base/Time.hpp"

namespace masticstep::dispatch {

// How long work takes on a backend server compared to others of its kind: 1 is usual, 2 is twice as
// long. Servers share their machines with others, so this differs between servers and changes many
// times a second. Learnt from what the server says of itself; without that it stays 1.
//
// Load: servers of unequal speed, and moments of some hundred milliseconds in which one is slower.
// A figure is worth less the older it is, and after such a moment only the average counts.
class EnginePace
{
public:
  // Records the factor that an answer of the server named.
  void OnFigure(double aFactor, Time aNow);
  // Returns the factor that is expected for work that begins now.
  double FactorAt(Time aNow) const;

private:
  double mAverage = 1.0;
  double mLatest = 1.0;
  Time mLatestAt{};
};

} // namespace masticstep::dispatch
