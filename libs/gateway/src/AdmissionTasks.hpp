#pragma once

#include "GatewayParts.hpp"

#include <memory>

namespace masticstep::gateway {

// Admits waiting requests as engine capacity becomes available, until the daemon stops.
net::Task<void> RunAdmission(std::shared_ptr<GatewayParts> aParts);

// Publishes the demand of the accounts to the peers and applies the resulting shares of the account
// limits, until the daemon stops.
net::Task<void> RunLimitSharing(std::shared_ptr<GatewayParts> aParts);

} // namespace masticstep::gateway
