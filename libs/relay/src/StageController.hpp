#pragma once

#include "masticstep/control/EngineAuthority.hpp"
#include "masticstep/dispatch/DecodeShare.hpp"
#include "masticstep/dispatch/StagePlan.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <map>
#include <memory>
#include <optional>

namespace masticstep::relay {

// Operation and argument values of orders that change an engine's stage.
struct StageOrderNames
{
  std::string operation;
  std::string prefill;
  std::string decode;
};

// Assigns stages to engines according to the stage plan while this daemon holds the lease for
// orders.
class StageController : public std::enable_shared_from_this<StageController>
{
public:
  StageController(std::shared_ptr<RelayState> aState,
                  std::shared_ptr<control::EngineAuthority> aAuthority, StageOrderNames aNames,
                  dispatch::StagePolicy aPolicy, bool aEnginesCheckFencing);

  net::Task<void> Run();
  // Issues no further orders and releases the lease.
  void Stop();

private:
  void Plan();
  void PlanService(const dispatch::ServiceTraits& aService);
  // Logs the share that is in force with the needs that led to it, once per change.
  void LogShare(const ServiceName& aService, double aShare, std::optional<double> aMeasured);
  void IssueStageChange(const dispatch::StageChange& aChange);

  const std::shared_ptr<RelayState> mState;
  const std::shared_ptr<control::EngineAuthority> mAuthority;
  const StageOrderNames mNames;
  const dispatch::StagePolicy mPolicy;
  const bool mEnginesCheckFencing;
  std::map<ServiceName, dispatch::DecodeShareController> mShares;
  std::map<ServiceName, double> mLoggedShares;
  dispatch::PendingStages mChanging;
  bool mIsStopped = false;
};

} // namespace masticstep::relay
