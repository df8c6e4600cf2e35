#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/control/RoleController.hpp"
#include "masticstep/peering/Peering.hpp"

#include <memory>
#include <string_view>

namespace masticstep::gateway {

// Returns the key of the role controller's drain entry. A backend server has two drain entries:
// this one, and one under its own name that is set from the platform's list of leaving hosts. It
// gets work only if neither is set, so that the end of a role change does not cancel the drain of a
// leaving host.
EntryKey RoleDrainKey(const EngineId& aEngine);

// Returns the backend server that a drain entry refers to.
BackendServerName DrainedServer(const EntryKey& aKey);

// Returns whether either drain entry of the backend server is set.
bool IsDrained(const Peering& aPeering, const BackendServerName& aServer);

// Returns whether the platform lists the backend server as leaving.
bool IsLeaving(const Peering& aPeering, const BackendServerName& aServer);

// Drains an engine before its role changes, by publishing a drain entry to all daemons.
class RoleChangeDrainer : public control::EngineDrainer
{
public:
  explicit RoleChangeDrainer(std::shared_ptr<Peering> aPeering);

  void Drain(const EngineId& aEngine) override;
  void Resume(const EngineId& aEngine) override;

private:
  const std::shared_ptr<Peering> mPeering;
};

} // namespace masticstep::gateway
