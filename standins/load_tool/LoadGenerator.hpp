#pragma once

#include "masticstep/base/Random.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <string>

namespace masticstep::standins {

// Parameters of a generated load.
struct LoadProfile
{
  std::uint64_t seed = 1;
  double ratePerSecond = 1;
  double promptTokens = 200; // mean
  double outputTokens = 50;  // mean
  // In the first half of each swing period, the mean prompt length is multiplied and the mean
  // output length divided by this factor; in the second half, vice versa. 1 disables the swing.
  double swing = 1;
  Duration swingPeriod = Seconds(60);
  std::uint32_t prefixCount = 8;    // number of distinct shared prompt prefixes
  std::uint32_t prefixTokens = 256; // length of a shared prefix, in addition to promptTokens
};

struct GeneratedRequest
{
  Duration at{}; // time since the start of the load
  std::string prompt;
  std::uint32_t maxTokens = 0;
};

// Generates an open-loop load with Poisson arrivals: arrival times do not depend on responses.
class LoadGenerator
{
public:
  explicit LoadGenerator(const LoadProfile& aProfile);
  GeneratedRequest Next();

private:
  std::uint32_t SampleTokenCount(double aMean);
  std::string GenerateText(std::uint32_t aTokens, Random& aRandom);

  LoadProfile mProfile;
  Random mRandom;
  Duration mAt{};
};

} // namespace masticstep::standins
