#include "masticstep/dispatch/StageDemand.hpp"

#include <algorithm>
#include <cmath>

namespace masticstep::dispatch {

namespace {

// Longer than swings of the request mix within some seconds, which are too fast to follow by
// changing stages.
constexpr Duration kTimeConstant = Seconds(12);
constexpr double kMinimumMeasuredSeconds = 3.0;
// Decoding needs more headroom than prefill: on a nearly full engine the time between tokens
// exceeds its target immediately, while a prompt may wait for some time.
constexpr double kDecodeWeight = 1.5;

double DecayFactor(Duration aAge)
{
  return std::exp(-ToSeconds(aAge) / ToSeconds(kTimeConstant));
}

} // namespace

StageDemand::Sums& StageDemand::Update(const ServiceName& aService, Time aNow)
{
  Sums& sums = mSums[aService];
  const double decay = DecayFactor(aNow - sums.updated);
  sums.prefillSeconds *= decay;
  sums.decodeSeconds *= decay;
  sums.updated = aNow;
  return sums;
}

void StageDemand::OnPrefill(const ServiceName& aService, Duration aPrefillTime, Time aNow)
{
  Update(aService, aNow).prefillSeconds += ToSeconds(aPrefillTime);
}

void StageDemand::OnDecode(const ServiceName& aService, Duration aSlotTime, std::uint32_t aSlots,
                           Time aNow)
{
  Update(aService, aNow).decodeSeconds += ToSeconds(aSlotTime) / std::max(1U, aSlots);
}

std::optional<double> StageDemand::DecodeShare(const ServiceName& aService, Time aNow) const
{
  const auto found = mSums.find(aService);
  if (found == mSums.end()) {
    return std::nullopt;
  }
  const double decay = DecayFactor(aNow - found->second.updated);
  const double prefill = found->second.prefillSeconds * decay;
  const double decode = found->second.decodeSeconds * decay;
  if (prefill + decode < kMinimumMeasuredSeconds) {
    return std::nullopt;
  }
  return kDecodeWeight * decode / (kDecodeWeight * decode + prefill);
}

} // namespace masticstep::dispatch
