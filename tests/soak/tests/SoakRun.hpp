#pragma once

#include "Fleet.hpp"

#include <string>

namespace masticstep::soak {

// Runs a fleet in a temporary folder and returns its findings, one a line. The folder remains if
// there are any.
std::string PlaySoak(FleetOptions aOptions, std::uint64_t aSeed);

} // namespace masticstep::soak
