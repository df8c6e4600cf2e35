#pragma once

#include "masticstep/cli/CommandLine.hpp"
#include "masticstep/cli/ExitCode.hpp"

#include <iosfwd>

namespace masticstep {

// Prints the log lines of one request in order of time, before them what its daemon last logged of
// its configuration and of its link to the platform, and with --around all that the daemon logged
// of itself near the request. Reads the files of the command, or the input if there are none; lines
// that are no JSON objects are counted and skipped. Fails with BadInput if a file cannot be read or
// no line names the request.
ExitCode RunExplain(const Command& aCommand, std::istream& aInput, std::ostream& aOutput,
                    std::ostream& aErrors);

} // namespace masticstep
