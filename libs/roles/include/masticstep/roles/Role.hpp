#pragma once

#include <cstdint>

namespace masticstep::roles {

// How an engine divides its batch steps between prefill (prompts) and decode (running streams).
enum class Role : std::uint8_t
{
  Mixed,
  Prefill,
  Decode
};

} // namespace masticstep::roles
