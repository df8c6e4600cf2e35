#include "masticstep/accounts/FreshnessPolicy.hpp"

namespace masticstep::accounts {

namespace {

// Shares of the maximum age. A watch of the reading daemon may bring knowledge that is as old as
// the watch was long, and the next one takes as long again; that must be less than the age at which
// the others read themselves.
constexpr double kWatchShare = 0.2;
constexpr double kPeerShare = 0.16;
constexpr double kStoreShare = 0.5;
constexpr double kStoreSpread = 0.25;

Duration ShareOf(Duration aMaximumAge, double aShare)
{
  return FromSeconds(ToSeconds(aMaximumAge) * aShare);
}

} // namespace

FreshnessPolicy::FreshnessPolicy(Duration aMaximumAge, double aSpread)
  : mPeerAge(ShareOf(aMaximumAge, kPeerShare))
  , mStoreAge(ShareOf(aMaximumAge, kStoreShare + kStoreSpread * aSpread))
  , mWatchTime(ShareOf(aMaximumAge, kWatchShare))
{
}

FreshnessSource FreshnessPolicy::SourceAt(const ConfigurationFreshness& aFreshness, Time aNow) const
{
  if (!aFreshness.IsRequired()) {
    return FreshnessSource::None;
  }
  if (!aFreshness.NewestAsOf() || aNow - *aFreshness.NewestAsOf() >= mStoreAge) {
    return FreshnessSource::Store;
  }
  return aNow - *aFreshness.NewestAsOf() >= mPeerAge ? FreshnessSource::Peers
                                                     : FreshnessSource::None;
}

Duration FreshnessPolicy::WatchTime() const
{
  return mWatchTime;
}

} // namespace masticstep::accounts
