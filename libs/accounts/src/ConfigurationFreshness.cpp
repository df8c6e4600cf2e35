#include "masticstep/accounts/ConfigurationFreshness.hpp"

#include <algorithm>

namespace masticstep::accounts {

ConfigurationFreshness::ConfigurationFreshness(Duration aMaximumAge)
  : mMaximumAge(aMaximumAge)
{
}

void ConfigurationFreshness::OnStoreReading(const ConfigurationReading& aReading,
                                            std::uint64_t aEra, std::uint64_t aInForce, Time aNow)
{
  if (aEra < mEra) {
    return;
  }
  if (aEra > mEra) {
    mEra = aEra;
    mCountsFrom = aNow + kRestoreTime;
  }
  if (aReading.asOf >= mCountsFrom) {
    OnPeerReading(aReading, aInForce);
  }
}

void ConfigurationFreshness::OnPeerReading(const ConfigurationReading& aReading,
                                           std::uint64_t aInForce)
{
  // Of another version, a reading tells nothing about the one in force: an older one may show that
  // the store has lost it, a newer one replaces it.
  if (aReading.version == aInForce) {
    mNewestAsOf = std::max(mNewestAsOf.value_or(aReading.asOf), aReading.asOf);
  }
}

bool ConfigurationFreshness::IsFresh(Time aNow) const
{
  if (!IsRequired()) {
    return true;
  }
  return mNewestAsOf && aNow - *mNewestAsOf < mMaximumAge;
}

} // namespace masticstep::accounts
