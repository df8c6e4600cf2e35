#pragma once

#include "masticstep/base/Fault.hpp"
#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/platform/ObjectKey.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace masticstep::publication {

// Which generation is in force in a whole data centre, as one of its daemons reports it to the
// platform. One report a data centre keeps the platform's calls independent of the number of
// daemons.
struct InForceReport
{
  DataCentreName dataCentre;
  std::uint64_t generation = 0; // lowest among the data centre's daemons that are alive
  std::uint32_t members = 0;    // daemons alive
  HostName reporter;

  auto operator<=>(const InForceReport&) const = default;
};

// Returns the key of a data centre's report.
platform::ObjectKey InForceKey(const DataCentreName& aDataCentre);

std::string EncodeInForce(const InForceReport& aReport);
Result<InForceReport, Faults> ParseInForce(std::string_view aText);

} // namespace masticstep::publication
