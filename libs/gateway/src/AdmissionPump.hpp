#pragma once

#include "GatewayParts.hpp"

#include <memory>

namespace masticstep::gateway {

// Releases waiting requests as room appears, until the daemon stops.
net::Task<void> PumpAdmission(std::shared_ptr<GatewayParts> aParts);

// Tells the peers the demand of accounts and applies the shares of their limits, until the daemon
// stops.
net::Task<void> ShareLimits(std::shared_ptr<GatewayParts> aParts);

} // namespace masticstep::gateway
