#include "load_tool/LoadMix.hpp"

#include <algorithm>

namespace masticstep::standins {

namespace {

constexpr std::uint32_t kLongest = 8192; // tokens of a prompt or an answer
constexpr std::uint64_t kPrefixSeed = 1000;

} // namespace

LoadPlan::LoadPlan(const LoadMix& aMix)
  : mMix(aMix)
  , mRandom(aMix.seed)
{
}

PlannedRequest LoadPlan::Next()
{
  mAt += FromSeconds(mRandom.Exponential(1.0 / mMix.ratePerSecond));
  const bool isSecondHalf = mAt % mMix.swingPeriod >= mMix.swingPeriod / 2;
  const double factor = isSecondHalf ? 1.0 / mMix.swing : mMix.swing;
  const std::uint64_t family = mRandom.Below(std::max<std::uint32_t>(1, mMix.prefixes));
  Random prefixRandom(kPrefixSeed + family);
  PlannedRequest request;
  request.at = mAt;
  request.prompt = DrawText(mMix.prefixTokens, prefixRandom);
  request.prompt += DrawText(DrawLength(mMix.promptTokens * factor), mRandom);
  request.maxTokens = DrawLength(mMix.outputTokens / factor);
  return request;
}

std::uint32_t LoadPlan::DrawLength(double aMean)
{
  const double n = std::min<double>(kLongest, mRandom.Exponential(aMean));
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(n));
}

std::string LoadPlan::DrawText(std::uint32_t aTokens, Random& aRandom)
{
  constexpr std::uint64_t kAlphabet = 26;
  std::string text;
  for (std::uint32_t i = 0; i < aTokens; ++i) {
    text += static_cast<char>('a' + aRandom.Below(kAlphabet));
    text += static_cast<char>('a' + aRandom.Below(kAlphabet));
    text += static_cast<char>('a' + aRandom.Below(kAlphabet));
    text += ' ';
  }
  return text;
}

} // namespace masticstep::standins
