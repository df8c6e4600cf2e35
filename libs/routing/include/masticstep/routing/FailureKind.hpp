#pragma once

#include <cstdint>

namespace masticstep::routing {

// Why a request ended without a whole answer. Only the first three count against the engine.
enum class FailureKind : std::uint8_t
{
  ConnectionFailed,
  Silent,      // no byte for the silence limit
  EngineError, // 5xx or a broken stream
  Refused,     // the engine confirmed that it did not start
  Cancelled,   // the caller left
  DeadlineExceeded
};

} // namespace masticstep::routing
