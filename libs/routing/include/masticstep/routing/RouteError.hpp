#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace masticstep::routing {

enum class RouteErrorKind : std::uint8_t
{
  UnknownService,
  NoEngine,            // none is ready and not excluded
  DeadlineCannotBeMet, // predicted completion is after the deadline on every engine
  Overload,       // the first token would miss its target on every engine, because of their load
  AlreadyInFlight // the same request id has not finished
};

struct RouteError
{
  RouteErrorKind kind = RouteErrorKind::NoEngine;
  std::string message;

  bool operator==(const RouteError&) const = default;
};

} // namespace masticstep::routing
