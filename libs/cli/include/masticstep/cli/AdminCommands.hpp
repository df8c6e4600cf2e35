#pragma once

#include "masticstep/cli/CommandLine.hpp"
#include "masticstep/cli/ExitCode.hpp"

#include <iosfwd>
#include <string_view>

namespace masticstep {

// Prints the status of the daemon at the command's admin address, as text or as the JSON that it
// answers. Returns Unavailable if the daemon cannot be reached within the command's timeout.
ExitCode RunStatus(const Command& aCommand, std::ostream& aOutput, std::ostream& aErrors);

// Asks the daemon to shut down gracefully. Returns as soon as it has agreed.
ExitCode RunDrain(const Command& aCommand, std::ostream& aOutput, std::ostream& aErrors);

// Prints the JSON of GET /status as text, one line for the daemon and each thing it knows of.
// Returns false if the text has another form.
bool PrintStatus(std::string_view aJson, std::ostream& aOutput);

} // namespace masticstep
