#pragma once

#include "GatewayParts.hpp"
#include "ServiceSummary.hpp"
#include "masticstep/spread/EngineLoadValue.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace masticstep::gateway {

// Returns the load of an engine, or nothing if no recent load is known.
using LoadLookup = std::function<std::optional<EngineLoadValue>(const EngineId&)>;

// Sums the load of the service's engines in the data centre. An engine without a known load counts
// as unusable.
ServiceSummary Summarize(const Service& aService, const DataCentreName& aDataCentre,
                         const LoadLookup& aLookup);

// Publishes the summary of each model service of this data centre every 5 s, if this daemon is the
// owner, or the standby while the owner's entry is stale. Runs until the daemon stops.
net::Task<void> PublishSummaries(std::shared_ptr<GatewayParts> aParts);

// Applies the summary of another data centre to its engines: engines listed as unusable become
// unreachable, and each other engine gets the mean load.
void OnSummaryEntry(GatewayParts& aParts, const Entry& aEntry);

} // namespace masticstep::gateway
