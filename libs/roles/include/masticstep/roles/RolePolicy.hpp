#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/roles/FleetCapacity.hpp"

namespace masticstep::roles {

// The first three fields are the role_policy of the service file.
struct RolePolicy
{
  // Seconds of engine time that a change must win back.
  double changeCost = 20.0;
  Duration minimumInterval = Seconds(120);
  double maximumShare = 0.2;
  RoleCosts costs;
  // Time over which a change can win back its cost. Mixes here swing within minutes.
  Duration payback = Seconds(90);
  // From the decision until the engine serves in its new role.
  Duration lead = Seconds(15);
  Duration levelTime = Seconds(20);
  Duration trendTime = Seconds(40);
  // Hysteresis: the same change must pay for this long without a break.
  Duration confirmation = Seconds(4);
  // No decision before the forecast has seen this much.
  Duration warmUp = Seconds(30);
};

} // namespace masticstep::roles
