#pragma once

#include "masticstep/base/Identifier.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace masticstep::routing {

// Output lengths seen lately, in buckets a factor of the square root of two apart. Each new length
// takes a fixed share of the weight from the older ones.
class LengthHistogram
{
public:
  static constexpr std::size_t kBuckets = 32; // up to 65,536 tokens

  void Add(std::uint32_t aTokens);
  double Weight() const { return mWeight; }
  // Mean length with every bucket cut at aMaximum; 0 without lengths.
  double MeanUpTo(double aMaximum) const;

private:
  std::array<float, kBuckets> mBuckets{};
  float mWeight = 0.0F;
};

// Predicts output lengths by class and account. An account with few answers is drawn to its class.
class OutputPredictor
{
public:
  explicit OutputPredictor(std::size_t aMaximumHistories);

  void Learn(std::size_t aClass, const AccountName& aAccount, std::uint32_t aTokens);
  double Predict(std::size_t aClass, const AccountName& aAccount, std::uint32_t aMaxTokens) const;
  std::size_t Histories() const { return mAccounts.size(); }

private:
  std::size_t mMaximumHistories;
  std::unordered_map<std::size_t, LengthHistogram> mClasses;
  std::unordered_map<std::uint64_t, LengthHistogram> mAccounts;
};

} // namespace masticstep::routing
