#pragma once

#include "masticstep/base/Identifier.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace masticstep::routing {

// Histogram of recent output lengths with exponential decay. Bucket bounds grow by a factor of the
// square root of two.
class LengthHistogram
{
public:
  static constexpr std::size_t kBuckets = 32; // up to 65,536 tokens

  void Add(std::uint32_t aTokens);
  double Weight() const { return mWeight; }
  // Returns the mean length with every bucket capped at aMaximum, or 0 if the histogram is empty.
  double MeanUpTo(double aMaximum) const;

private:
  std::array<float, kBuckets> mBuckets{};
  float mWeight = 0.0F;
};

// Predicts output lengths by class and account. The prediction for an account with few answers is
// pulled towards the mean of its class.
class OutputPredictor
{
public:
  explicit OutputPredictor(std::size_t aMaximumHistories);

  void Learn(std::size_t aClass, const AccountName& aAccount, std::uint32_t aTokens);
  double Predict(std::size_t aClass, const AccountName& aAccount, std::uint32_t aMaxTokens) const;
  std::size_t HistoryCount() const { return mAccounts.size(); }

private:
  std::size_t mMaximumHistories;
  std::unordered_map<std::size_t, LengthHistogram> mClasses;
  std::unordered_map<std::uint64_t, LengthHistogram> mAccounts;
};

} // namespace masticstep::routing
