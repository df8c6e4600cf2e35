#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::dispatch {

// Circuit breaker of one backend server, by the outcomes of this daemon's own requests.
class Breaker
{
public:
  void OnSuccess();
  void OnFailure(Time aNow);

  // Returns whether new requests may be sent. After a pause one request at a time may, as a probe.
  bool Allows(Time aNow) const;
  // A request is sent; it is the probe if the breaker was open.
  void OnSent(Time aNow);
  bool IsOpen() const { return mIsOpen; }
  // Recent share of failures, from 0 to 1.
  double FailureShare() const { return mFailureShare; }

private:
  bool mIsOpen = false;
  std::uint32_t mFailuresInRow = 0;
  std::uint32_t mTrips = 0; // since the last success of a probe
  double mFailureShare = 0.0;
  Time mProbeAt{};
};

} // namespace masticstep::dispatch
