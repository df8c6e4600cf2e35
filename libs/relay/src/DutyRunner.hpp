#pragma once

#include "masticstep/control/EngineAuthority.hpp"
#include "masticstep/relay/DutyCodec.hpp"
#include "masticstep/relay/DutySettings.hpp"
#include "masticstep/relay/RelayState.hpp"
#include "masticstep/scaling/EnginePlanner.hpp"

#include <map>
#include <memory>
#include <optional>

namespace masticstep::relay {

// Does the singleton duties while this daemon holds the lease: reports usage and orders engines. A
// call begins only if the lease is valid for longer than the call can take.
class DutyRunner : public std::enable_shared_from_this<DutyRunner>
{
public:
  DutyRunner(std::shared_ptr<RelayState> aState, std::shared_ptr<platform::ObjectStore> aStore,
             std::shared_ptr<control::EngineAuthority> aAuthority,
             std::shared_ptr<const DutyCodec> aCodec, DutySettings aSettings);

  net::Task<void> RunUsage();
  net::Task<void> RunEngineOrders();
  void SetSettings(DutySettings aSettings) { mSettings = std::move(aSettings); }

private:
  // Returns the fencing token with which a call may be made now; nothing if it may not.
  std::optional<std::uint64_t> Fencing() const;
  // Sends a call and returns the status of its answer; nothing if there was none.
  net::Task<std::optional<unsigned>> Call(net::HttpRequest aRequest);
  net::Task<void> ReportUsage(duties::UsageReporter& aReporter);
  net::Task<void> OrderEngines(const dispatch::ServiceTraits& aService);
  // Returns the demand of all data centres, or nothing unless all of them have told theirs lately.
  std::optional<double> DemandFor(const dispatch::ServiceTraits& aService, Time aNow) const;
  void LogPlan(const dispatch::ServiceTraits& aService, const scaling::EnginePlanner& aPlanner,
               const scaling::SupplyByDataCentre& aSupply);
  Duration CallInterval() const;

  const std::shared_ptr<RelayState> mState;
  const std::shared_ptr<platform::ObjectStore> mStore;
  const std::shared_ptr<control::EngineAuthority> mAuthority;
  const std::shared_ptr<const DutyCodec> mCodec;
  DutySettings mSettings;
  const std::shared_ptr<net::ConnectionPool> mPool;
  std::map<ServiceName, scaling::EnginePlanner> mPlanners; // of this term as the holder
  std::map<ServiceName, std::map<DataCentreName, scaling::EnginePlanner::Wanted>> mLoggedPlans;
  std::uint64_t mNextCall = 1;
};

} // namespace masticstep::relay
