#pragma once

#include <cstdint>

namespace masticstep::routing {

// Why a request ended without a complete answer. Only the first three count as engine failures.
enum class FailureKind : std::uint8_t
{
  ConnectionFailed,
  Silent,      // no data received within the idle limit
  EngineError, // HTTP 5xx or a broken stream
  Refused,     // the engine confirmed that it did not start the request
  Cancelled,   // the caller disconnected
  DeadlineExceeded
};

} // namespace masticstep::routing
