#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

namespace masticstep::routing {

// Linear model with non-negative weights, trained by normalised least mean squares. A larger
// feature value never lowers the predicted latency, and a single outlier has little effect.
template <std::size_t N>
class OnlineRegression
{
public:
  using Features = std::array<float, N>;

  explicit OnlineRegression(const Features& aPrior)
    : mWeights(aPrior)
  {
  }

  double Predict(const Features& aFeatures) const
  {
    float sum = 0.0F;
    for (std::size_t i = 0; i < N; ++i) {
      sum += mWeights[i] * aFeatures[i];
    }
    return sum;
  }

  void Learn(const Features& aFeatures, double aObserved)
  {
    float norm = 1e-3F;
    for (const float feature : aFeatures) {
      norm += feature * feature;
    }
    const float error = static_cast<float>(aObserved - Predict(aFeatures));
    const float step = kLearningRate * error / norm;
    for (std::size_t i = 0; i < N; ++i) {
      mWeights[i] = std::max(0.0F, mWeights[i] + step * aFeatures[i]);
    }
  }

  const Features& Weights() const { return mWeights; }

private:
  // A weight converges most of the way in about 20 samples.
  static constexpr float kLearningRate = 0.05F;

  Features mWeights;
};

} // namespace masticstep::routing
