#include "OutputPredictor.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>
#include <cmath>

namespace masticstep::routing {

namespace {

constexpr double kDecayFactor = 0.98; // the last 50 answers carry most of the weight
// Number of answers at which an account's own history weighs as much as that of its class.
constexpr double kClassPriorWeight = 8.0;
// Expected fraction of max_tokens while the class has no history.
constexpr double kDefaultOutputFraction = 0.5;

// Returns the midpoint of each bucket. Bucket bounds grow by a factor of the square root of two.
template <std::size_t N>
std::array<double, N> BucketLengths()
{
  std::array<double, N> lengths{};
  for (std::size_t i = 0; i < N; ++i) {
    lengths[i] = std::exp2((static_cast<double>(i) + 0.5) / 2.0);
  }
  return lengths;
}

const std::array<double, LengthHistogram::kBuckets> kBucketLengths =
  BucketLengths<LengthHistogram::kBuckets>();

} // namespace

void LengthHistogram::Add(std::uint32_t aTokens)
{
  for (float& bucket : mBuckets) {
    bucket *= static_cast<float>(kDecayFactor);
  }
  const double position = 2.0 * std::log2(std::max(1.0, static_cast<double>(aTokens)));
  const std::size_t bucket = std::min(kBuckets - 1, static_cast<std::size_t>(position));
  mBuckets[bucket] += 1.0F;
  mWeight = mWeight * static_cast<float>(kDecayFactor) + 1.0F;
}

double LengthHistogram::MeanUpTo(double aMaximum) const
{
  if (mWeight <= 0.0F) {
    return 0.0;
  }
  double sum = 0.0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    sum += mBuckets[i] * std::min(aMaximum, kBucketLengths[i]);
  }
  return sum / mWeight;
}

OutputPredictor::OutputPredictor(std::size_t aMaximumHistories)
  : mMaximumHistories(aMaximumHistories)
{
}

void OutputPredictor::Learn(std::size_t aClass, const AccountName& aAccount, std::uint32_t aTokens)
{
  mClasses[aClass].Add(aTokens);
  const std::uint64_t key = Hash64(aAccount.Text(), aClass);
  const auto it = mAccounts.find(key);
  if (it != mAccounts.end()) {
    it->second.Add(aTokens);
    return;
  }
  if (mAccounts.size() >= mMaximumHistories) {
    mAccounts.erase(mAccounts.begin());
  }
  mAccounts[key].Add(aTokens);
}

double OutputPredictor::Predict(std::size_t aClass, const AccountName& aAccount,
                                std::uint32_t aMaxTokens) const
{
  const double maximum = aMaxTokens;
  const auto ofClass = mClasses.find(aClass);
  if (ofClass == mClasses.end()) {
    return maximum * kDefaultOutputFraction;
  }
  const double classMean = ofClass->second.MeanUpTo(maximum);
  const auto it = mAccounts.find(Hash64(aAccount.Text(), aClass));
  if (it == mAccounts.end()) {
    return classMean;
  }
  const double weight = it->second.Weight();
  return (it->second.MeanUpTo(maximum) * weight + classMean * kClassPriorWeight) /
         (weight + kClassPriorWeight);
}

} // namespace masticstep::routing
