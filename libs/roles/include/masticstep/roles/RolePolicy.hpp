#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/roles/FleetCapacity.hpp"

namespace masticstep::roles {

// The first three fields are set by role_policy in the service file.
struct RolePolicy
{
  // Engine time that the gain of a change must exceed, in seconds.
  double changeCost = 20.0;
  Duration minimumInterval = Seconds(120);
  double maximumShare = 0.2;
  RoleCosts costs;
  // Time within which a change must recover its cost, because workloads shift within minutes.
  Duration paybackTime = Seconds(90);
  // From the decision until the engine serves in its new role.
  Duration leadTime = Seconds(15);
  Duration levelTimeConstant = Seconds(20);
  Duration trendTimeConstant = Seconds(40);
  // Hysteresis: the gain of the same change must exceed its cost for this long without a break.
  Duration confirmationTime = Seconds(4);
  // No change starts until this long after the first sample of the forecast.
  Duration warmUpTime = Seconds(30);
};

} // namespace masticstep::roles
