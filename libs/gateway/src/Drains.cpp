#include "Drains.hpp"

#include <utility>

namespace masticstep::gateway {

namespace {

constexpr std::string_view kRoleEnding = "/role"; // names of backend servers contain no slash

bool IsSet(const Peering& aPeering, const EntryKey& aKey)
{
  const std::optional<Entry> entry = aPeering.Find(aKey);
  return entry && !entry->value.empty();
}

} // namespace

EntryKey RoleDrainKey(const EngineId& aEngine)
{
  return { EntryKind::Drain, aEngine.Text() + std::string(kRoleEnding) };
}

BackendServerName DrainedServer(const EntryKey& aKey)
{
  std::string name = aKey.name;
  if (name.ends_with(kRoleEnding)) {
    name.resize(name.size() - kRoleEnding.size());
  }
  return BackendServerName(std::move(name));
}

bool IsLeaving(const Peering& aPeering, const BackendServerName& aServer)
{
  return IsSet(aPeering, { EntryKind::Drain, aServer.Text() });
}

bool IsDrained(const Peering& aPeering, const BackendServerName& aServer)
{
  return IsLeaving(aPeering, aServer) || IsSet(aPeering, RoleDrainKey(aServer));
}

RoleDrains::RoleDrains(std::shared_ptr<Peering> aPeering)
  : mPeering(std::move(aPeering))
{
}

void RoleDrains::Drain(const EngineId& aEngine)
{
  mPeering->Publish(RoleDrainKey(aEngine), "role");
}

void RoleDrains::Resume(const EngineId& aEngine)
{
  mPeering->Publish(RoleDrainKey(aEngine), "");
}

} // namespace masticstep::gateway
