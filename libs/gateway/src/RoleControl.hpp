#pragma once

#include "Drains.hpp"
#include "GatewayParts.hpp"
#include "OfferedWork.hpp"
#include "masticstep/control/EngineAuthority.hpp"
#include "masticstep/control/RoleController.hpp"
#include "masticstep/platform/ObjectStore.hpp"

#include <atomic>
#include <map>
#include <memory>

namespace masticstep::gateway {

// This daemon's part in the control of engine roles. Every daemon tells its peers the work that
// callers offer it. The two daemons of a data centre that rendezvous hashing names try for the
// lease, so that the platform's calls do not grow with the fleet; the holder plans and gives the
// orders.
class RoleControl : public std::enable_shared_from_this<RoleControl>
{
public:
  RoleControl(std::shared_ptr<GatewayParts> aParts, std::shared_ptr<platform::ObjectStore> aStore,
              net::Executor aExecutor);

  // Runs until Stop.
  net::Task<void> Run();
  // Gives the lease up, so that a successor need not wait for it to lapse.
  void Stop();

private:
  using Controllers = std::map<ServiceName, std::shared_ptr<control::RoleController>>;

  void Step(const Configuration& aConfiguration, Time aNow);
  void ReportWork(Time aNow);
  // Work offered to the whole data centre, from the reports.
  WorkByService WorkOfDataCentre() const;
  // Begins or ends to try for the lease, as the members of the data centre change.
  void FollowOwnership();
  void FollowConfiguration(const Configuration& aConfiguration);
  void FeedController(control::RoleController& aController, const Service& aService,
                      const WorkByService& aWork, Time aNow);
  // Ends the drains of a predecessor that stopped between drain and order.
  void EndDrainsOfPredecessor(const Configuration& aConfiguration);
  bool IsLocal(const BackendServer& aEngine) const;

  const std::shared_ptr<GatewayParts> mParts;
  const std::shared_ptr<platform::ObjectStore> mStore;
  const net::Executor mExecutor;
  std::shared_ptr<control::EngineAuthority>
    mAuthority; // null unless this daemon tries for the lease
  Controllers mControllers;
  std::uint64_t mGeneration = 0; // that the controllers follow
  bool mWasHolder = false;
  Time mReported{};
  std::atomic<bool> mIsStopped{ false };
};

} // namespace masticstep::gateway
