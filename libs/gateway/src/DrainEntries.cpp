#include "DrainEntries.hpp"

#include <utility>

namespace masticstep::gateway {

namespace {

constexpr std::string_view kRoleSuffix = "/role"; // names of backend servers contain no slash

bool IsSet(const Peering& aPeering, const EntryKey& aKey)
{
  const std::optional<Entry> entry = aPeering.Find(aKey);
  return entry && !entry->value.empty();
}

} // namespace

EntryKey RoleDrainKey(const EngineId& aEngine)
{
  return { EntryKind::Drain, aEngine.Text() + std::string(kRoleSuffix) };
}

BackendServerName DrainedServer(const EntryKey& aKey)
{
  std::string name = aKey.name;
  if (name.ends_with(kRoleSuffix)) {
    name.resize(name.size() - kRoleSuffix.size());
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

RoleChangeDrainer::RoleChangeDrainer(std::shared_ptr<Peering> aPeering)
  : mPeering(std::move(aPeering))
{
}

void RoleChangeDrainer::Drain(const EngineId& aEngine)
{
  mPeering->Publish(RoleDrainKey(aEngine), "role");
}

void RoleChangeDrainer::Resume(const EngineId& aEngine)
{
  mPeering->Publish(RoleDrainKey(aEngine), "");
}

} // namespace masticstep::gateway
