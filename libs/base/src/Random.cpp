#include "masticstep/base/Random.hpp"

#include <bit>
#include <cmath>

namespace masticstep {

namespace {

// SplitMix64 spreads a small seed over the whole state, as the authors of xoshiro256** advise.
std::uint64_t SplitMix(std::uint64_t& aState)
{
  aState += 0x9e3779b97f4a7c15U;
  std::uint64_t n = aState;
  n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9U;
  n = (n ^ (n >> 27U)) * 0x94d049bb133111ebU;
  return n ^ (n >> 31U);
}

} // namespace

Random::Random(std::uint64_t aSeed)
  : mState()
{
  for (std::uint64_t& word : mState) {
    word = SplitMix(aSeed);
  }
}

std::uint64_t Random::Next()
{
  const std::uint64_t result = std::rotl(mState[1] * 5, 7) * 9;
  const std::uint64_t shifted = mState[1] << 17U;
  mState[2] ^= mState[0];
  mState[3] ^= mState[1];
  mState[1] ^= mState[2];
  mState[0] ^= mState[3];
  mState[2] ^= shifted;
  mState[3] = std::rotl(mState[3], 45);
  return result;
}

std::uint64_t Random::Below(std::uint64_t aBound)
{
  if (aBound == 0) {
    return 0;
  }
  // The bias of the modulus is below 2^-32 for every bound that the project uses.
  return Next() % aBound;
}

double Random::Uniform()
{
  return static_cast<double>(Next() >> 11U) * 0x1.0p-53;
}

double Random::Exponential(double aMean)
{
  return -aMean * std::log1p(-Uniform());
}

bool Random::Chance(double aProbability)
{
  return Uniform() < aProbability;
}

} // namespace masticstep
