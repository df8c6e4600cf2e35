#pragma once

#include "masticstep/base/Time.hpp"

#include <chrono>

namespace masticstep::duties {

// Time of day, in UTC. Hosts may disagree about it; see FleetClock.
using UnixTime = std::chrono::sys_time<Duration>;

} // namespace masticstep::duties
