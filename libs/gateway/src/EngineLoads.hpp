#pragma once

#include "GatewayParts.hpp"
#include "masticstep/spread/Entry.hpp"

#include <memory>

namespace masticstep::gateway {

// Polls load and cache events of the engines in this data centre for which this daemon is the owner
// or the standby, and publishes the load to the peers. Runs until the daemon stops. Must run on a
// strand.
net::Task<void> PollLoads(std::shared_ptr<GatewayParts> aParts);

// Applies the load of an engine that another daemon polls.
void OnLoadEntry(GatewayParts& aParts, const Entry& aEntry);

} // namespace masticstep::gateway
