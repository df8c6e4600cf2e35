#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/duties/UnixTime.hpp"

#include <map>

namespace masticstep::duties {

// Time of day on which the daemons of a fleet agree: the median of what their clocks say. A clock
// that jumps, on this host or on others, does not move it as long as it is one of a minority.
class FleetClock
{
public:
  // Records the reading of this host's clock.
  void OnOwnReading(UnixTime aReading, Time aNow);
  // Records a peer's reading that has just arrived. The time on the way is neglected.
  void OnPeerReading(const HostName& aHost, UnixTime aReading, Time aNow);
  // Requires a reading of this host.
  UnixTime At(Time aNow) const;

private:
  struct Reading
  {
    Duration offset{ 0 }; // between the time of day and the monotonic time
    Time receivedAt{};
  };

  static constexpr Duration kExpiry = Seconds(10); // of a peer's reading

  Reading mOwn;
  std::map<HostName, Reading> mPeers;
};

} // namespace masticstep::duties
