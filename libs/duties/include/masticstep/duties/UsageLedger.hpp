#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/duties/UsageWindows.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace masticstep::duties {

// Requests by client account.
using AccountCounts = std::map<AccountName, std::uint32_t>;

// Requests that began to run, by window and by the daemon or data centre that reports them. Counts
// only grow, so reports may be repeated, lost and overtaken.
class UsageLedger
{
public:
  // Adds one request of this daemon's.
  void Add(WindowNumber aWindow, const std::string& aSource, const AccountName& aAccount);
  // Takes the counts of a source over; lower ones are outdated.
  void Merge(WindowNumber aWindow, const std::string& aSource, const AccountCounts& aCounts);
  // Returns the sum over all sources.
  AccountCounts Total(WindowNumber aWindow) const;
  AccountCounts Of(WindowNumber aWindow, const std::string& aSource) const;
  bool Has(WindowNumber aWindow) const { return mWindows.contains(aWindow); }
  // Forgets the windows before the first one to keep.
  void Prune(WindowNumber aFirst);

private:
  std::map<WindowNumber, std::map<std::string, AccountCounts>> mWindows;
};

} // namespace masticstep::duties
