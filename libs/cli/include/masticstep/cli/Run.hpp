#pragma once

#include "masticstep/cli/ExitCode.hpp"

#include <string>
#include <vector>

namespace masticstep {

// Runs the command that the arguments (without the program name) name and returns the exit code of
// the process.
ExitCode Run(const std::vector<std::string>& aArguments);

} // namespace masticstep
