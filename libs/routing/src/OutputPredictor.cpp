#include "OutputPredictor.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>
#include <cmath>

namespace masticstep::routing {

namespace {

constexpr double kKept = 0.98; // the last 50 answers carry most of the weight
// Answers of its own with which an account weighs as much as its class.
constexpr double kClassWeight = 8.0;
// Expected share of max_tokens before any answer was seen.
constexpr double kUnknownShare = 0.5;

// Middle of each bucket, whose edges are a factor of the square root of two apart.
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
    bucket *= static_cast<float>(kKept);
  }
  const double place = 2.0 * std::log2(std::max(1.0, static_cast<double>(aTokens)));
  const std::size_t bucket = std::min(kBuckets - 1, static_cast<std::size_t>(place));
  mBuckets[bucket] += 1.0F;
  mWeight = mWeight * static_cast<float>(kKept) + 1.0F;
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
    return maximum * kUnknownShare;
  }
  const double classMean = ofClass->second.MeanUpTo(maximum);
  const auto it = mAccounts.find(Hash64(aAccount.Text(), aClass));
  if (it == mAccounts.end()) {
    return classMean;
  }
  const double weight = it->second.Weight();
  return (it->second.MeanUpTo(maximum) * weight + classMean * kClassWeight) /
         (weight + kClassWeight);
}

} // namespace masticstep::routing
