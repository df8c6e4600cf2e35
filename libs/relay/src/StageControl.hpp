#pragma once

#include "masticstep/control/EngineAuthority.hpp"
#include "masticstep/dispatch/StagePlan.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <map>
#include <memory>
#include <set>

namespace masticstep::relay {

// Words of orders that change the stage of an engine.
struct StageWords
{
  std::string operation;
  std::string reading;
  std::string answering;
};

// Keeps the stages of the engines as planned, while this daemon holds the lease on orders.
class StageControl : public std::enable_shared_from_this<StageControl>
{
public:
  StageControl(std::shared_ptr<RelayState> aParts,
               std::shared_ptr<control::EngineAuthority> aAuthority, StageWords aWords,
               dispatch::StagePolicy aPolicy, bool aEnginesCheckFencing);

  net::Task<void> Run();
  // Gives no further orders.
  void Stop();

private:
  void Plan();
  void PlanService(const dispatch::ServiceTraits& aService);
  void Give(const dispatch::StageChange& aChange);

  const std::shared_ptr<RelayState> mParts;
  const std::shared_ptr<control::EngineAuthority> mAuthority;
  const StageWords mWords;
  const dispatch::StagePolicy mPolicy;
  const bool mEnginesCheckFencing;
  std::map<ServiceName, dispatch::StageShare> mShares;
  std::set<BackendServerName> mChanging;
  bool mIsStopped = false;
};

} // namespace masticstep::relay
