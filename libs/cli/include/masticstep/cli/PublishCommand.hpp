#pragma once

#include "masticstep/cli/CommandLine.hpp"
#include "masticstep/cli/ExitCode.hpp"

#include <iosfwd>

namespace masticstep {

// Collects, validates and publishes the files of the command's folders. If Command::wait is set,
// also waits until the new generation is in force in every data centre of the configuration, and
// returns NotInForce if that takes longer than the timeout.
ExitCode RunPublishCommand(const Command& aCommand, std::ostream& aOutput, std::ostream& aErrors);

} // namespace masticstep
