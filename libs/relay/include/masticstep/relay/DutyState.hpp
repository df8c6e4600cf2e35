#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/dispatch/StageDemand.hpp"
#include "masticstep/duties/FleetClock.hpp"
#include "masticstep/duties/UsageLedger.hpp"
#include "masticstep/duties/UsageWindows.hpp"

#include <map>
#include <optional>

namespace masticstep::relay {

// What a daemon collects for the duties of the fleet.
struct DutyState
{
  HostName host;
  std::optional<duties::UsageWindows> windows; // none if usage is not reported
  duties::FleetClock clock;
  duties::UsageLedger byHost;       // of the daemons of the data centre
  duties::UsageLedger byDataCentre; // of all data centres
  struct ReportedNeeds
  {
    dispatch::NeedByService needs;
    Time receivedAt{};
  };
  std::map<DataCentreName, ReportedNeeds> needs; // latest report of each data centre

  // Counts a request of the account that begins to run.
  void OnRequestBegan(const std::optional<AccountName>& aAccount, Time aNow)
  {
    if (windows && aAccount) {
      byHost.Add(windows->At(clock.At(aNow)), host.Text(), *aAccount);
    }
  }
};

} // namespace masticstep::relay
