#pragma once

#include <algorithm>

namespace masticstep::routing {

// How much slower than its service's cost model one engine is. It tends back to 1, so that the
// model and not all of the factors learn what the engines have in common.
class EngineFactor
{
public:
  double Value() const { return mValue; }

  void Learn(double aObserved, double aPredicted)
  {
    const double ratio = std::clamp(aObserved / std::max(1e-3, aPredicted), kSmallest, kLargest);
    mValue += kStep * (ratio - mValue) + kReturn * (1.0 - mValue);
  }

private:
  static constexpr double kSmallest = 0.25;
  static constexpr double kLargest = 4.0;
  static constexpr double kStep = 0.02;
  static constexpr double kReturn = 0.02;

  double mValue = 1.0;
};

} // namespace masticstep::routing
