#pragma once

#include "GatewayParts.hpp"
#include "masticstep/spread/Entry.hpp"

#include <memory>

namespace masticstep::gateway {

// Polls the load and the cache events of the engines of this data centre that this daemon owns or
// is the deputy of, and publishes the load to the peers. Runs until the daemon stops. Must run on a
// strand.
net::Task<void> PollLoads(std::shared_ptr<GatewayParts> aParts);

// Takes the load of an engine that another daemon polls.
void OnLoadEntry(GatewayParts& aParts, const Entry& aEntry);

} // namespace masticstep::gateway
