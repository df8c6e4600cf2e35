#include "masticstep/duties/FleetClock.hpp"

#include <algorithm>
#include <vector>

namespace masticstep::duties {

void FleetClock::OnOwnReading(UnixTime aReading, Time aNow)
{
  mOwn = { aReading.time_since_epoch() - aNow.time_since_epoch(), aNow };
}

void FleetClock::OnPeerReading(const HostName& aHost, UnixTime aReading, Time aNow)
{
  std::erase_if(mPeers,
                [aNow](const auto& aPeer) { return aPeer.second.receivedAt + kExpiry < aNow; });
  mPeers[aHost] = { aReading.time_since_epoch() - aNow.time_since_epoch(), aNow };
}

UnixTime FleetClock::At(Time aNow) const
{
  std::vector<Duration> offsets{ mOwn.offset };
  for (const auto& [host, reading] : mPeers) {
    if (reading.receivedAt + kExpiry >= aNow) {
      offsets.push_back(reading.offset);
    }
  }
  const auto median = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), median, offsets.end());
  return UnixTime(aNow.time_since_epoch() + *median);
}

} // namespace masticstep::duties
