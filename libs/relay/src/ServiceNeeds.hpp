#pragma once

#include "masticstep/dispatch/StageDemand.hpp"
#include "masticstep/wire/WorkReport.hpp"

#include <vector>

namespace masticstep::relay {

// Converts the needs of services from and to datagrams.
dispatch::NeedByService ToNeeds(const std::vector<wire::ServiceNeed>& aNeeds);
std::vector<wire::ServiceNeed> ToWire(const dispatch::NeedByService& aNeeds);

} // namespace masticstep::relay
