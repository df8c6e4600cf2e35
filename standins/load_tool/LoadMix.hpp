#pragma once

#include "masticstep/base/Random.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <string>

namespace masticstep::standins {

struct LoadMix
{
  std::uint64_t seed = 1;
  double ratePerSecond = 1;
  double promptTokens = 200; // mean
  double outputTokens = 50;  // mean
  // Every half swing period, the means of prompt and output are multiplied and divided by the
  // swing, then the other way round. 1 leaves them.
  double swing = 1;
  Duration swingPeriod = Seconds(60);
  std::uint32_t prefixes = 8;       // shared beginnings of prompts
  std::uint32_t prefixTokens = 256; // before the drawn length
};

struct PlannedRequest
{
  Duration at{}; // after the start
  std::string prompt;
  std::uint32_t maxTokens = 0;
};

// Draws the requests of an open-loop load: the arrivals do not depend on the answers.
class LoadPlan
{
public:
  explicit LoadPlan(const LoadMix& aMix);
  PlannedRequest Next();

private:
  std::uint32_t DrawLength(double aMean);
  std::string DrawText(std::uint32_t aTokens, Random& aRandom);

  LoadMix mMix;
  Random mRandom;
  Duration mAt{};
};

} // namespace masticstep::standins
