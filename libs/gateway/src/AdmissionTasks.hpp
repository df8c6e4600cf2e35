#pragma once

#include "GatewayParts.hpp"

#include <memory>

namespace masticstep::gateway {

// Releases waiting requests as room appears, until the daemon stops.
net::Task<void> RunAdmission(std::shared_ptr<GatewayParts> aParts);

// Tells the peers the demand of accounts and applies the shares of their limits, until the daemon
// stops.
net::Task<void> RunLimitSharing(std::shared_ptr<GatewayParts> aParts);

} // namespace masticstep::gateway
