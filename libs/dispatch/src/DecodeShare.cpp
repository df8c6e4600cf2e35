#include "masticstep/dispatch/DecodeShare.hpp"

#include <algorithm>

namespace masticstep::dispatch {

namespace {

// Limits on the share, since some engines of each stage are always needed.
constexpr double kMinimumDecodeShare = 0.2;
constexpr double kMaximumDecodeShare = 0.7;
// Without any measurement, an error in either direction costs about the same.
constexpr double kMaximumInitialShare = 0.45;
// Smaller deviations gain less than a change of stage costs.
constexpr double kGrowthDeadBand = 0.15;
// Decode engines are given away more reluctantly: with too few of them answers fail and are
// repeated, with too few prefill engines prompts only wait.
constexpr double kShrinkDeadBand = 0.2;
constexpr Duration kConfirmationTime = Seconds(4);
constexpr Duration kChangeInterval = Seconds(8);
constexpr double kExpectedDecodeSeconds = 1.05;
constexpr double kExpectedPrefillSeconds = 0.03;
constexpr std::uint32_t kMaximumEffectiveSlots = 64;

} // namespace

std::uint32_t EffectiveSlots(std::uint32_t aSlots)
{
  return std::clamp(aSlots, 1U, kMaximumEffectiveSlots);
}

double InitialDecodeShare(std::uint32_t aSlots)
{
  const double answer = kExpectedDecodeSeconds / EffectiveSlots(aSlots);
  return std::clamp(answer / (answer + kExpectedPrefillSeconds), kMinimumDecodeShare,
                    kMaximumInitialShare);
}

DecodeShareController::DecodeShareController(double aStart)
  : mShare(aStart)
{
}

double DecodeShareController::Update(std::optional<double> aMeasured, Time aNow)
{
  const bool differs =
    aMeasured && (*aMeasured > mShare + kGrowthDeadBand || *aMeasured < mShare - kShrinkDeadBand);
  if (!differs) {
    mDiffersSince.reset();
    return mShare;
  }
  mDiffersSince = mDiffersSince ? mDiffersSince : aNow;
  const bool isConfirmed = aNow >= *mDiffersSince + kConfirmationTime;
  const bool mayChange = !mChangedAt || aNow >= *mChangedAt + kChangeInterval;
  if (isConfirmed && mayChange) {
    mShare = std::clamp(*aMeasured, kMinimumDecodeShare, kMaximumDecodeShare);
    mChangedAt = aNow;
    mDiffersSince.reset();
  }
  return mShare;
}

} // namespace masticstep::dispatch
