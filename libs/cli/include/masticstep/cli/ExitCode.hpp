#pragma once

namespace masticstep {

// Exit codes of the command line, documented in docs/OPERATIONS.md.
enum class ExitCode
{
  Done = 0,
  BadInput = 1, // all faults are printed on standard error
  Usage = 2,
  Conflict = 3,    // another run published one of the same services
  Unavailable = 4, // platform or daemon cannot be reached
  NotInForce = 5   // accepted, but not in force in every data centre before the timeout
};

} // namespace masticstep
