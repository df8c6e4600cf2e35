#pragma once

#include "masticstep/base/Time.hpp"

#include <chrono>

namespace masticstep::net {

// Reads the monotonic clock of the host, which goes on while the host is suspended, so that leases
// and deadlines lapse meanwhile. Only the I/O shell may call it; decision libraries get the
// time passed in.
Time Now();
// Reads the time of day of the host, which may differ between hosts and may jump. Only for what is
// told to others; durations are measured with Now.
std::chrono::sys_time<Duration> TimeOfDay();

} // namespace masticstep::net
