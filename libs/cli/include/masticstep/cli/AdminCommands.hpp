#pragma once

#include "masticstep/cli/CommandLine.hpp"
#include "masticstep/cli/ExitCode.hpp"

#include <iosfwd>
#include <string_view>

namespace masticstep {

// Prints the status of the daemon at the command's admin address, as text or as the unmodified JSON
// response. Returns Unavailable if the daemon does not send a valid status within the command's
// timeout.
ExitCode RunStatus(const Command& aCommand, std::ostream& aOutput, std::ostream& aErrors);

// Requests a graceful shutdown of the daemon. Returns as soon as the daemon has accepted the
// request, without waiting for the shutdown to complete.
ExitCode RunDrain(const Command& aCommand, std::ostream& aOutput, std::ostream& aErrors);

// Prints the JSON body of GET /status as text, one line each for the daemon and for every member,
// engine and backend server that it lists. Returns false if the body is not a JSON object.
bool PrintStatus(std::string_view aJson, std::ostream& aOutput);

} // namespace masticstep
