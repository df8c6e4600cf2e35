#pragma once

#include "masticstep/retry/RetryDecision.hpp"

namespace masticstep::gateway {

// What a refusal says about execution. NotRun: no byte reached a backend server, or the engine
// confirmed that it did not start.
using RunState = retry::RunState;

// Returns "not_run" or "unknown".
const char* ToString(RunState aState);

} // namespace masticstep::gateway
