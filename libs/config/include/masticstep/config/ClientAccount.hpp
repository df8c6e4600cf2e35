#pragma once

#include "masticstep/base/Identifier.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace masticstep {

// Account of a caller. Only the digest of its key is stored, never the key itself.
struct ClientAccount
{
  AccountName name;
  std::string keySha256;             // 64 lower-case hexadecimal digits
  std::uint32_t weight = 1;          // relative share of capacity under overload
  std::uint32_t tokensPerSecond = 0; // 0 means no limit
  std::uint32_t burstTokens = 0;
  std::vector<ServiceName> services;

  auto operator<=>(const ClientAccount&) const = default;
};

} // namespace masticstep
