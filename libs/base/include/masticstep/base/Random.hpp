#pragma once

#include <array>
#include <cstdint>

namespace masticstep {

// xoshiro256** generator with an explicit seed, so that every run with the same seed is the same.
class Random
{
public:
  explicit Random(std::uint64_t aSeed);

  // Returns 64 uniform bits.
  std::uint64_t Next();
  // Returns a uniform number in [0, aBound); 0 if aBound is 0.
  std::uint64_t Below(std::uint64_t aBound);
  // Returns a uniform number in [0, 1).
  double Uniform();
  // Returns an exponentially distributed number with the given mean.
  double Exponential(double aMean);
  // Returns true with the given probability.
  bool Chance(double aProbability);

private:
  std::array<std::uint64_t, 4> mState;
};

} // namespace masticstep
