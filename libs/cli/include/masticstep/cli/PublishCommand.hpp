#pragma once

#include "masticstep/cli/CommandLine.hpp"
#include "masticstep/cli/ExitCode.hpp"

#include <iosfwd>

namespace masticstep {

// Collects, checks and publishes the files of the command's folders. With wait, returns only once
// the new generation is in force in every data centre that the configuration names, or NotInForce
// after the timeout.
ExitCode RunPublishCommand(const Command& aCommand, std::ostream& aOutput, std::ostream& aErrors);

} // namespace masticstep
