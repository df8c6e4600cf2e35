#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/roles/Role.hpp"

#include <cstdint>

namespace masticstep::roles {

enum class RoleActionKind : std::uint8_t
{
  Drain,  // assign no new requests; the running ones finish
  SetRole // send the order; the engine is idle
};

struct RoleAction
{
  RoleActionKind kind = RoleActionKind::Drain;
  EngineId engine;
  Role role = Role::Mixed;

  bool operator==(const RoleAction&) const = default;
};

} // namespace masticstep::roles
