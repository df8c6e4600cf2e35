#include "masticstep/duties/UsageLedger.hpp"

#include <algorithm>

namespace masticstep::duties {

void UsageLedger::Add(WindowNumber aWindow, const std::string& aSource, const AccountName& aAccount)
{
  ++mWindows[aWindow][aSource][aAccount];
}

void UsageLedger::Merge(WindowNumber aWindow, const std::string& aSource,
                        const AccountCounts& aCounts)
{
  AccountCounts& known = mWindows[aWindow][aSource];
  for (const auto& [account, count] : aCounts) {
    std::uint32_t& current = known[account];
    current = std::max(current, count);
  }
}

AccountCounts UsageLedger::Total(WindowNumber aWindow) const
{
  AccountCounts total;
  const auto window = mWindows.find(aWindow);
  if (window == mWindows.end()) {
    return total;
  }
  for (const auto& [source, counts] : window->second) {
    for (const auto& [account, count] : counts) {
      total[account] += count;
    }
  }
  return total;
}

AccountCounts UsageLedger::Of(WindowNumber aWindow, const std::string& aSource) const
{
  const auto window = mWindows.find(aWindow);
  if (window == mWindows.end()) {
    return {};
  }
  const auto source = window->second.find(aSource);
  return source == window->second.end() ? AccountCounts{} : source->second;
}

void UsageLedger::Prune(WindowNumber aFirst)
{
  mWindows.erase(mWindows.begin(), mWindows.lower_bound(aFirst));
}

} // namespace masticstep::duties
