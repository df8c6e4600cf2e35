#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/roles/Role.hpp"

#include <cstdint>

namespace masticstep::roles {

enum class RoleActionKind : std::uint8_t
{
  Drain,  // no new work; what runs finishes
  SetRole // send the order; the engine is empty
};

struct RoleAction
{
  RoleActionKind kind = RoleActionKind::Drain;
  EngineId engine;
  Role role = Role::Mixed;

  bool operator==(const RoleAction&) const = default;
};

} // namespace masticstep::roles
