#pragma once

#include "Refusal.hpp"
#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Result.hpp"

#include <string>
#include <string_view>

namespace masticstep::gateway {

// Request target /services/{name}/..., split into the service and the target for its server.
struct PlainPath
{
  ServiceName service;
  std::string target; // for the server, with the query
  std::string path;   // without the query

  // Rejects paths that a server might normalize to another path, because the path decides whether
  // the call is repeatable.
  static Result<PlainPath, Refusal> Parse(std::string_view aTarget);

  bool operator==(const PlainPath&) const = default;
};

} // namespace masticstep::gateway
