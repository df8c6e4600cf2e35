#pragma once

#include "masticstep/base/Identifier.hpp"

namespace masticstep::admission {

// What one daemon used of an account lately; sent to the account's owner daemon.
struct UsageReport
{
  AccountName account;
  HostName daemon;
  double tokensPerSecond = 0.0;

  bool operator==(const UsageReport&) const = default;
};

// Part of the account's limit that the daemon may use; the owner's answer to a report.
struct UsageGrant
{
  AccountName account;
  HostName daemon;
  double share = 0.0;

  bool operator==(const UsageGrant&) const = default;
};

} // namespace masticstep::admission
