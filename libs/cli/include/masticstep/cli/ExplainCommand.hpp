#pragma once

#include "masticstep/cli/CommandLine.hpp"
#include "masticstep/cli/ExitCode.hpp"

#include <iosfwd>

namespace masticstep {

// Prints the log lines of one request in chronological order, preceded by the latest earlier lines
// of its daemon about the configuration and the connection to the platform. With --around, also
// prints the lines that the daemon logged within that time of the request and that belong to no
// request. Reads the log files of the command, or aInput if there are none. Lines that are not JSON
// objects with a valid time are skipped and counted. Returns BadInput if a file cannot be read or
// if no line has the request ID.
ExitCode RunExplain(const Command& aCommand, std::istream& aInput, std::ostream& aOutput,
                    std::ostream& aErrors);

} // namespace masticstep
