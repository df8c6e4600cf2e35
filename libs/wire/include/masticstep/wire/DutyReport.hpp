#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/wire/WireError.hpp"
#include "masticstep/wire/WorkReport.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticstep::wire {

struct AccountCount
{
  AccountName account;
  std::uint32_t requests = 0;

  bool operator==(const AccountCount&) const = default;
};

// Requests that began to run in one window of time.
struct UsageWindow
{
  std::int64_t window = 0;
  std::vector<AccountCount> counts;

  bool operator==(const UsageWindow&) const = default;
};

// What one daemon, or the daemons of one data centre together, tell for the singleton duties.
struct DutyReport
{
  DataCentreName dataCentre;
  HostName host; // empty if the report is of the whole data centre
  std::vector<UsageWindow> windows;
  std::vector<ServiceNeed> needs;

  bool operator==(const DutyReport&) const = default;
};

std::string EncodeDutyReport(const DutyReport& aReport);
// Returns whether the bytes begin like a duty report; they need not be valid.
bool IsDutyReport(std::string_view aBytes);
// Fails if the bytes are not a complete, valid report.
Result<DutyReport, WireError> DecodeDutyReport(std::string_view aBytes);

} // namespace masticstep::wire
