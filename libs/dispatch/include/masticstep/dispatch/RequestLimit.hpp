#pragma once

#include "masticstep/dispatch/DaemonFleet.hpp"

#include <optional>

namespace masticstep::dispatch {

// Keeps this daemon's requests to one backend server within its part of the limit that the backend
// server names in its answers. Answers the load of a backend server in need, on which requests of
// all daemons meet. The limit holds until an answer names none.
class RequestLimit
{
public:
  // Records an answer that named a limit. aJitter, from 0 to 1, spreads the probes of the daemons.
  void OnNamed(const RequestAllotment& aAllotment, double aJitter, Time aNow);
  // Records an answer that named no limit.
  void OnNotNamed(Time aNow);

  bool IsSet() const { return mAllotment.has_value(); }
  bool AllowsRequest(Time aNow) const;
  void OnSent(Time aNow);

private:
  double Tokens(Time aNow) const;

  std::optional<RequestAllotment> mAllotment;
  double mTokens = 0.0; // requests that may be sent, at mFilledAt
  Time mFilledAt{};
  Time mNamedAt{};
  Duration mProbeInterval{ 0 };
  Time mProbeAt{};
};

} // namespace masticstep::dispatch
