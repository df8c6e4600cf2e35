#pragma once

#include "masticstep/base/Time.hpp"

namespace masticstep::net {

// Reads the monotonic clock of the host, which goes on while the host is suspended, so that leases
// and deadlines lapse meanwhile. Only the I/O shell may call it; decision libraries get the
// time passed in.
Time Now();

} // namespace masticstep::net
