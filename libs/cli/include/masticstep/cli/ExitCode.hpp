#pragma once

namespace masticstep {

// Exit codes of the command line, documented in docs/OPERATIONS.md.
enum class ExitCode
{
  Done = 0,
  BadInput = 1, // every fault has been printed
  Usage = 2,
  Conflict = 3,    // somebody else published the same service
  Unavailable = 4, // platform or daemon cannot be reached
  NotInForce = 5   // accepted, but not in force everywhere in time
};

} // namespace masticstep
