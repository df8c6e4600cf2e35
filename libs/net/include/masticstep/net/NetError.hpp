#pragma once

#include <ostream>
#include <string>

namespace masticstep::net {

enum class NetErrorKind
{
  InvalidAddress,
  ResolveFailed,
  ConnectFailed,
  TimedOut,
  Closed,    // the other side ended the connection
  Reset,     // the connection broke
  Cancelled, // this side closed the connection
  Malformed, // not HTTP
  HeaderTooLarge,
  BodyTooLarge,
  TlsFailed,
  NoMemory, // others use up what may be kept
};

// Failure of a network operation.
struct NetError
{
  NetErrorKind kind = NetErrorKind::Closed;
  std::string detail;

  bool operator==(const NetError&) const = default;
};

// Returns the kind in words, such as "timed out".
const char* ToString(NetErrorKind aKind);
std::string ToString(const NetError& aError);
std::ostream& operator<<(std::ostream& aStream, NetErrorKind aKind);

} // namespace masticstep::net
