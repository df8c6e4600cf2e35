#include "load_tool/LoadGenerator.hpp"

#include <algorithm>

namespace masticstep::standins {

namespace {

// Upper limit for the random part of a prompt and for a completion.
constexpr std::uint32_t kMaxTokens = 8192;
constexpr std::uint64_t kPrefixSeed = 1000;

} // namespace

LoadGenerator::LoadGenerator(const LoadProfile& aProfile)
  : mProfile(aProfile)
  , mRandom(aProfile.seed)
{
}

GeneratedRequest LoadGenerator::Next()
{
  mAt += FromSeconds(mRandom.Exponential(1.0 / mProfile.ratePerSecond));
  const bool isSecondHalf = mAt % mProfile.swingPeriod >= mProfile.swingPeriod / 2;
  const double factor = isSecondHalf ? 1.0 / mProfile.swing : mProfile.swing;
  const std::uint64_t prefixIndex = mRandom.Below(std::max<std::uint32_t>(1, mProfile.prefixCount));
  Random prefixRandom(kPrefixSeed + prefixIndex);
  GeneratedRequest request;
  request.at = mAt;
  request.prompt = GenerateText(mProfile.prefixTokens, prefixRandom);
  request.prompt += GenerateText(SampleTokenCount(mProfile.promptTokens * factor), mRandom);
  request.maxTokens = SampleTokenCount(mProfile.outputTokens / factor);
  return request;
}

std::uint32_t LoadGenerator::SampleTokenCount(double aMean)
{
  const double n = std::min<double>(kMaxTokens, mRandom.Exponential(aMean));
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(n));
}

std::string LoadGenerator::GenerateText(std::uint32_t aTokens, Random& aRandom)
{
  constexpr std::uint64_t kAlphabetSize = 26;
  std::string text;
  for (std::uint32_t i = 0; i < aTokens; ++i) {
    text += static_cast<char>('a' + aRandom.Below(kAlphabetSize));
    text += static_cast<char>('a' + aRandom.Below(kAlphabetSize));
    text += static_cast<char>('a' + aRandom.Below(kAlphabetSize));
    text += ' ';
  }
  return text;
}

} // namespace masticstep::standins
