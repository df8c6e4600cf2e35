#pragma once

namespace masticstep::gateway {

// What a refusal says about execution.
enum class RunState
{
  NotRun, // no byte reached a backend server, or the engine confirmed that it did not start
  Unknown
};

// Returns "not_run" or "unknown".
const char* ToString(RunState aState);

} // namespace masticstep::gateway
