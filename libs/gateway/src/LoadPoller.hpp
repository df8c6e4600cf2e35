#pragma once

#include "GatewayParts.hpp"

#include <memory>

namespace masticstep::gateway {

// Asks the engines in force for their load until the daemon stops.
net::Task<void> PollLoads(std::shared_ptr<GatewayParts> aParts);

// Releases waiting requests as room appears, until the daemon stops.
net::Task<void> PumpAdmission(std::shared_ptr<GatewayParts> aParts);

} // namespace masticstep::gateway
