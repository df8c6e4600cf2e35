#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/duties/UsageLedger.hpp"

#include <map>
#include <string>

namespace masticstep::duties {

// What is reported of one window. It never changes once it is in the store.
struct UsageReport
{
  WindowNumber window = 0;
  AccountCounts counts;

  bool operator==(const UsageReport&) const = default;
};

// The reports of the latest windows, as kept in one object of the store.
using FixedReports = std::map<WindowNumber, AccountCounts>;

std::string EncodeFixedReports(const FixedReports& aReports);
// Returns a description of the first fault if the body is none of EncodeFixedReports.
Result<FixedReports, std::string> DecodeFixedReports(const std::string& aBody);

} // namespace masticstep::duties
