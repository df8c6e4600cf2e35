#pragma once

#include "masticstep/base/Fault.hpp"
#include "masticstep/cli/ExitCode.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace masticstep {

// Validates all configuration files below the folders as one configuration. Faults are written to
// aErrors, one per line.
ExitCode RunCheck(const std::vector<std::string>& aFolders, std::ostream& aOutput,
                  std::ostream& aErrors);

// Prints faults, one per line, as "FILE: PATH: PROBLEM (allowed: ALLOWED)".
void PrintFaults(const Faults& aFaults, std::ostream& aErrors);

} // namespace masticstep
