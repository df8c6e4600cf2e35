#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/duties/UsageLedger.hpp"

#include <cstdint>
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

// The reports of the latest windows, as kept in one object of the store. Each report is in the
// object before it is sent, so a window that is missing was never reported, unless the store lost
// the report when it was restored from an older copy.
struct FixedReports
{
  std::uint64_t storeEra = 0;   // of the store when the object was written; see platform::Version
  WindowNumber firstWindow = 0; // reports of earlier windows may be missing although they were sent
  std::map<WindowNumber, AccountCounts> byWindow;

  bool operator==(const FixedReports&) const = default;
};

std::string EncodeFixedReports(const FixedReports& aReports);
// Returns a description of the first fault if the body is none of EncodeFixedReports.
Result<FixedReports, std::string> DecodeFixedReports(const std::string& aBody);

} // namespace masticstep::duties
