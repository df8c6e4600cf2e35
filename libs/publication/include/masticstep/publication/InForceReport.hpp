#pragma once

#include "masticstep/base/Fault.hpp"
#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/platform/ObjectKey.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace masticstep::publication {

// Configuration generation that all daemons of a data centre have reached, written to the platform
// by one of them. One report per data centre keeps the number of platform requests independent of
// the number of daemons.
struct InForceReport
{
  DataCentreName dataCentre;
  std::uint64_t generation = 0; // lowest among the live daemons of the data centre
  std::uint32_t members = 0;    // number of live daemons
  HostName reporter;

  auto operator<=>(const InForceReport&) const = default;
};

platform::ObjectKey InForceKey(const DataCentreName& aDataCentre);

std::string EncodeInForce(const InForceReport& aReport);
Result<InForceReport, Faults> ParseInForce(std::string_view aText);

} // namespace masticstep::publication
