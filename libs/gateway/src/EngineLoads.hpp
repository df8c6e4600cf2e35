#pragma once

#include "GatewayParts.hpp"
#include "masticstep/spread/Entry.hpp"

#include <memory>

namespace masticstep::gateway {

// Polls the load of the engines of this data centre that this daemon owns or is the deputy of, and
// publishes it to the peers. Runs until the daemon stops.
net::Task<void> PollLoads(std::shared_ptr<GatewayParts> aParts);

// Takes the load of an engine that another daemon polls.
void OnLoadEntry(GatewayParts& aParts, const Entry& aEntry);

} // namespace masticstep::gateway
