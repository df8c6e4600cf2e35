#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::dispatch {

// Circuit breaker for one backend server, driven by the outcomes of this daemon's requests. It
// opens when the server does not work at all. If only some requests fail it stays closed, and the
// failure rate adds to the server's cost when servers are compared.
class CircuitBreaker
{
public:
  void OnSuccess(Time aNow);
  void OnFailure(Time aNow);
  // The server rejected a request, for example because it is full or changes its stage.
  void OnRefusal(Time aNow);
  // The server could not be connected to; opens the breaker immediately.
  void OnUnreachable(Time aNow);

  // Returns whether a request may be sent. While open, one probe at a time is allowed after a
  // delay.
  bool AllowsRequest(Time aNow) const;
  // Records that a request was sent; if the breaker is open, it is the probe.
  void OnSent(Time aNow);
  bool IsOpen() const { return mIsOpen; }
  // Exponentially weighted failure rate, from 0 to 1. It fades while there are no outcomes, since a
  // server that gets no requests cannot show that it works again.
  double FailureRate(Time aNow) const;

private:
  void RecordFailures(std::uint32_t aFailures, Time aNow);
  // Moves the failure rate towards the latest outcome: 1 for a failure, 0 for a success.
  void RecordOutcome(double aFailure, Time aNow);
  void Open(Time aNow);
  Duration OpenDuration() const;

  bool mIsOpen = false;
  std::uint32_t mConsecutiveFailures = 0;
  std::uint32_t mTripsSinceSuccess = 0;
  double mFailureRate = 0.0; // at mLastOutcome
  Time mLastOutcome{};
  Time mProbeAt{};
};

} // namespace masticstep::dispatch
