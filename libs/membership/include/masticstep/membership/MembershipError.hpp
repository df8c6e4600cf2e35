#pragma once

#include <string>

namespace masticstep {

struct MembershipError
{
  std::string message;

  bool operator==(const MembershipError&) const = default;
};

} // namespace masticstep
