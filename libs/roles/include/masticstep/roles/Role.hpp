#pragma once

#include <cstdint>

namespace masticstep::roles {

// How an engine divides its steps between prompts and running streams.
enum class Role : std::uint8_t
{
  Mixed,
  Prefill,
  Decode
};

} // namespace masticstep::roles
