#pragma once

#include <cstdint>
#include <string>

namespace masticstep::wire {

enum class WireErrorKind : std::uint8_t
{
  TooLarge,          // frame above kMaximumFrameSize
  OtherMajorVersion, // peer speaks another major version of the protocol
  BadChecksum,       // bytes changed on the way
  UnknownType,       // type that this version must know
  BadBody            // body fails verification
};

// Why a byte stream of a peer was refused. The link must be closed: the frame boundary is lost.
struct WireError
{
  WireErrorKind kind = WireErrorKind::BadBody;
  std::string message;

  bool operator==(const WireError&) const = default;
};

} // namespace masticstep::wire
