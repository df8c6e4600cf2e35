#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/net/HostPort.hpp"

#include <optional>

namespace masticstep::relay {

// Duties that one daemon at a time has towards the platform.
struct DutySettings
{
  std::optional<net::HostPort> platform; // address of the calls; none: there are no duties
  bool reportsUsage = false;
  bool ordersEngines = false;
  double callsPerSecond = 1.0; // that the platform accepts of all daemons together
  Duration usageWindow = Seconds(5);

  bool IsEmpty() const { return !platform || (!reportsUsage && !ordersEngines); }
  bool operator==(const DutySettings&) const = default;
};

} // namespace masticstep::relay
