#pragma once

#include <cstdint>
#include <string>

namespace masticstep::wire {

enum class WireErrorKind : std::uint8_t
{
  TooLarge,             // frame exceeds kMaximumFrameSize
  MajorVersionMismatch, // peer uses another major version of the protocol
  ChecksumMismatch,     // frame was corrupted in transit
  UnknownType,          // unknown frame type from a peer that is not of a newer minor version
  MalformedBody         // body fails verification
};

// Reason for rejecting the byte stream of a peer. The link must be closed, because the next
// frame boundary is unknown.
struct WireError
{
  WireErrorKind kind = WireErrorKind::MalformedBody;
  std::string message;

  bool operator==(const WireError&) const = default;
};

} // namespace masticstep::wire
