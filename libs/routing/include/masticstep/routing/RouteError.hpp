#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace masticstep::routing {

enum class RouteErrorKind : std::uint8_t
{
  UnknownService,
  NoEngine,            // every engine is either not ready or excluded
  DeadlineCannotBeMet, // the predicted completion is after the deadline on every engine
  Overload,            // because of load, the first token would miss its target on every engine
  AlreadyInFlight      // a request with the same id has not finished
};

struct RouteError
{
  RouteErrorKind kind = RouteErrorKind::NoEngine;
  std::string message;

  bool operator==(const RouteError&) const = default;
};

} // namespace masticstep::routing
