#pragma once

#include "masticstep/retry/RetryDecision.hpp"

namespace masticstep::gateway {

// Execution state reported in an error response. NotRun: no byte of the request reached a backend
// server, or the engine confirmed that it did not start the request.
using RunState = retry::RunState;

// Returns "not_run" or "unknown".
const char* ToString(RunState aState);

} // namespace masticstep::gateway
