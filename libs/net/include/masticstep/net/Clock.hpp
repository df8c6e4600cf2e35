#pragma once

#include "masticstep/base/Time.hpp"

namespace masticstep::net {

// Reads the monotonic clock of the host. Only the I/O shell may call it; decision libraries get the
// time passed in.
Time Now();

} // namespace masticstep::net
