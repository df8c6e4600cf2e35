#pragma once

#include "EngineSelector.hpp"

#include <string>

namespace masticstep::gateway {

enum class StreamFailureKind
{
  NotConnected, // no byte was sent
  Silent,       // no byte was received within the silence timeout
  Broken,       // the connection or response ended early, or the response was not a token stream
  Mismatched,   // an event with another request id or offset
  Rejected,     // the engine responded with an error status; see status
  Failed,       // the engine sent an error event
};

struct StreamFailure
{
  StreamFailureKind kind = StreamFailureKind::Broken;
  unsigned status = 0;
  std::string detail;

  bool operator==(const StreamFailure&) const = default;
};

EngineFailure ToEngineFailure(const StreamFailure& aFailure);
// Returns a description for the caller, without text from the engine.
std::string Describe(const StreamFailure& aFailure);
// Returns whether the stream may be resumed over another connection.
bool IsConnectionError(const StreamFailure& aFailure);
// Returns whether the status shows that the engine did not accept the request.
bool IsNotAccepted(const StreamFailure& aFailure);
// Returns whether the engine rejected the request as invalid.
bool IsCallerError(const StreamFailure& aFailure);

} // namespace masticstep::gateway
