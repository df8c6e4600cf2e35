#pragma once

#include "GatewayParts.hpp"
#include "ServiceSummary.hpp"
#include "masticstep/spread/EngineLoadValue.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace masticstep::gateway {

// Returns the load of an engine, or nothing if none is known that is recent enough.
using FindLoad = std::function<std::optional<EngineLoadValue>(const EngineId&)>;

// Adds up the engines of the service in the data centre. An engine without a known load counts as
// unusable.
ServiceSummary Summarize(const Service& aService, const DataCentreName& aDataCentre,
                         const FindLoad& aFindLoad);

// Publishes the summary of each model service of this data centre every 5 s, if this daemon is the
// owner, or the deputy while the owner's entry is stale. Runs until the daemon stops.
net::Task<void> ShareSummaries(std::shared_ptr<GatewayParts> aParts);

// Takes a summary of another data centre as the load of its engines: each usable engine gets the
// mean.
void OnSummaryEntry(GatewayParts& aParts, const Entry& aEntry);

} // namespace masticstep::gateway
