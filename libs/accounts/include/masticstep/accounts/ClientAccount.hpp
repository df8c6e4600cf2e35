#pragma once

#include "masticstep/base/Identifier.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticstep::accounts {

// A customer of the system, as the configuration names it.
struct ClientAccount
{
  AccountName name;
  std::vector<std::string> keys;        // secrets that callers of the account present
  std::optional<std::uint8_t> priority; // precedes that of the route; 0 is the most urgent

  bool operator==(const ClientAccount&) const = default;
};

} // namespace masticstep::accounts
