#pragma once

#include "masticstep/base/Identifier.hpp"

namespace masticstep::admission {

// Recent usage of an account on one daemon, sent to the daemon that owns the account.
struct UsageReport
{
  AccountName account;
  HostName daemon;
  double tokensPerSecond = 0.0;

  bool operator==(const UsageReport&) const = default;
};

// Fraction of the account's limit that the daemon may use. The owner returns it in reply to a
// report.
struct UsageGrant
{
  AccountName account;
  HostName daemon;
  double share = 0.0;

  bool operator==(const UsageGrant&) const = default;
};

} // namespace masticstep::admission
