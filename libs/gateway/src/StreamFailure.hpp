#pragma once

#include "EngineSelector.hpp"

#include <string>

namespace masticstep::gateway {

enum class StreamFailureKind
{
  NotConnected, // no byte was sent
  Silent,       // no byte for the silence limit
  Broken,       // the connection or the answer ended early, or the answer was not a stream
  Mismatched,   // an answer of another request or offset
  Rejected,     // the engine answered with an error status; see status
  Failed,       // the engine reported in the stream that the request failed
};

struct StreamFailure
{
  StreamFailureKind kind = StreamFailureKind::Broken;
  unsigned status = 0;
  std::string detail;

  bool operator==(const StreamFailure&) const = default;
};

EngineFailure ToEngineFailure(const StreamFailure& aFailure);
// Describes a failure to a caller, without text of the engine.
std::string Describe(const StreamFailure& aFailure);
// Returns whether the stream may go on over another connection.
bool IsConnectionError(const StreamFailure& aFailure);
// Returns whether the engine said by its status that it did not take the request.
bool IsNotAccepted(const StreamFailure& aFailure);
// Returns whether the engine found the request itself wrong.
bool IsCallerError(const StreamFailure& aFailure);

} // namespace masticstep::gateway
