#pragma once

#include "Refusal.hpp"
#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Result.hpp"

#include <string>
#include <string_view>

namespace masticstep::gateway {

// Target /services/{name}/... split into the service and what its server is asked for.
struct PlainPath
{
  ServiceName service;
  std::string target; // with the query
  std::string path;   // without it

  // Refuses paths that a server might read as another one, because the path decides whether the
  // call may be repeated.
  static Result<PlainPath, Refusal> Parse(std::string_view aTarget);

  bool operator==(const PlainPath&) const = default;
};

} // namespace masticstep::gateway
