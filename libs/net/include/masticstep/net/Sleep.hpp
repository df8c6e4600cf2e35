#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/net/Task.hpp"

namespace masticstep::net {

// Suspends the coroutine.
Task<void> Sleep(Duration aSpan);

} // namespace masticstep::net
