#pragma once

#include <algorithm>

namespace masticstep::routing {

// Latency of one engine relative to the prediction of its service's latency model. The factor
// decays towards 1, so that latency common to all engines is learned by the model and not by every
// factor.
class LatencyFactor
{
public:
  double Value() const { return mValue; }

  void Learn(double aObserved, double aPredicted)
  {
    const double ratio =
      std::clamp(aObserved / std::max(1e-3, aPredicted), kMinimumRatio, kMaximumRatio);
    mValue += kLearningRate * (ratio - mValue) + kDecayRate * (1.0 - mValue);
  }

private:
  static constexpr double kMinimumRatio = 0.25;
  static constexpr double kMaximumRatio = 4.0;
  static constexpr double kLearningRate = 0.02;
  static constexpr double kDecayRate = 0.02;

  double mValue = 1.0;
};

} // namespace masticstep::routing
