#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::dispatch {

// Circuit breaker of one backend server, by the outcomes of this daemon's own requests. It opens
// when a server does not work at all. One that fails part of its requests stays closed, and its
// failure share counts against it where servers are compared.
class CircuitBreaker
{
public:
  void OnSuccess();
  void OnFailure(Time aNow);
  // The server did not take a request, as one does that is full or changes its stage.
  void OnRefusal(Time aNow);
  // The server could not be reached; opens at once.
  void OnUnreachable(Time aNow);

  // Returns whether new requests may be sent. After a pause one request at a time may, as a probe.
  bool AllowsRequest(Time aNow) const;
  // A request is sent; it is the probe if the breaker was open.
  void OnSent(Time aNow);
  bool IsOpen() const { return mIsOpen; }
  // Recent share of failures, from 0 to 1.
  double FailureRate() const { return mFailureRate; }

private:
  void RecordFailures(std::uint32_t aFailures, Time aNow);
  void Open(Time aNow);
  Duration OpenDuration() const;

  bool mIsOpen = false;
  std::uint32_t mConsecutiveFailures = 0;
  std::uint32_t mTripsSinceSuccess = 0; // since the last success
  double mFailureRate = 0.0;
  Time mProbeAt{};
};

} // namespace masticstep::dispatch
