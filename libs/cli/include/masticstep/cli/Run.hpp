#pragma once

#include "masticstep/cli/ExitCode.hpp"

#include <string>
#include <vector>

namespace masticstep {

// Parses the arguments (without the program name), runs the selected command and returns the exit
// code of the process.
ExitCode Run(const std::vector<std::string>& aArguments);

} // namespace masticstep
