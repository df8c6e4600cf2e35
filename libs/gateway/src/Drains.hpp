#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/control/RoleController.hpp"
#include "masticstep/peering/Peering.hpp"

#include <memory>
#include <string_view>

namespace masticstep::gateway {

// A backend server has two drain entries: one under its own name, set from the platform's list of
// leaving hosts, and one of the role controller. It gets work only if neither is set, so that the
// end of a role change cannot end a notice to leave.
EntryKey RoleDrainKey(const EngineId& aEngine);

// Returns the backend server that a drain entry is about.
BackendServerName DrainedServer(const EntryKey& aKey);

// Returns whether either drain entry of the backend server is set.
bool IsDrained(const Peering& aPeering, const BackendServerName& aServer);

// Returns whether the platform's list names the backend server as leaving.
bool IsLeaving(const Peering& aPeering, const BackendServerName& aServer);

// Drains engines before their role changes by telling all daemons.
class RoleDrains : public control::EngineDrainer
{
public:
  explicit RoleDrains(std::shared_ptr<Peering> aPeering);

  void Drain(const EngineId& aEngine) override;
  void Resume(const EngineId& aEngine) override;

private:
  const std::shared_ptr<Peering> mPeering;
};

} // namespace masticstep::gateway
