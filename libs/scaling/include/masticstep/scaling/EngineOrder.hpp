#pragma once

#include "masticstep/base/Identifier.hpp"

#include <compare>
#include <cstdint>
#include <string_view>

namespace masticstep::scaling {

enum class EngineKind : std::uint8_t
{
  Reserved,
  Interruptible // cheaper; the platform may take all of a data centre away at once
};

// Order to the platform to provide this many engines of one kind in a data centre. It replaces the
// earlier orders for them.
struct EngineOrder
{
  ServiceName service;
  DataCentreName dataCentre;
  EngineKind kind = EngineKind::Reserved;
  std::uint32_t count = 0;

  auto operator<=>(const EngineOrder&) const = default;
};

enum class OrderOutcome : std::uint8_t
{
  Accepted,
  NoneAvailable, // the platform has no engines of the kind there at present
  Superseded,    // the platform has seen a newer holder of the duty
  Unknown        // no answer, or not now
};

std::string_view ToString(EngineKind aKind);

} // namespace masticstep::scaling
