#pragma once

#include "DrainEntries.hpp"
#include "GatewayParts.hpp"
#include "OfferedWork.hpp"
#include "masticstep/control/EngineAuthority.hpp"
#include "masticstep/control/RoleController.hpp"
#include "masticstep/platform/ObjectStore.hpp"

#include <atomic>
#include <map>
#include <memory>

namespace masticstep::gateway {

// Controls the roles of the engines of a data centre. Daemons publish the work that callers offer
// them. The two daemons that rendezvous hashing selects compete for the lease, so that the number
// of calls to the platform does not grow with the fleet; the lease holder plans role changes and
// sends the orders to the engines.
class RoleControl : public std::enable_shared_from_this<RoleControl>
{
public:
  RoleControl(std::shared_ptr<GatewayParts> aParts, std::shared_ptr<platform::ObjectStore> aStore,
              net::Executor aExecutor);

  // Runs until Stop() is called.
  net::Task<void> Run();
  // Releases the lease, so that a successor need not wait until it expires.
  void Stop();

private:
  using Controllers = std::map<ServiceName, std::shared_ptr<control::RoleController>>;

  void Step(const Configuration& aConfiguration, Time aNow);
  void ReportWork(Time aNow);
  // Returns the work offered to the whole data centre, according to the published reports.
  WorkByService DataCentreWork() const;
  // Starts or stops competing for the lease when the members of the data centre change.
  void UpdateCandidacy();
  void ApplyConfiguration(const Configuration& aConfiguration);
  void SendObservations(control::RoleController& aController, const Service& aService,
                        const WorkByService& aWork, Time aNow);
  // Ends drains left by a previous lease holder that stopped before it sent the order.
  void ClearStaleDrains(const Configuration& aConfiguration);
  bool IsLocal(const BackendServer& aEngine) const;

  const std::shared_ptr<GatewayParts> mParts;
  const std::shared_ptr<platform::ObjectStore> mStore;
  const net::Executor mExecutor;
  std::shared_ptr<control::EngineAuthority>
    mAuthority; // null unless this daemon competes for the lease
  Controllers mControllers;
  std::uint64_t mGeneration = 0; // configuration generation of the controllers
  bool mWasHolder = false;
  Time mLastReport{};
  std::atomic<bool> mIsStopped{ false };
};

} // namespace masticstep::gateway
