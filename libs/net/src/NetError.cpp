#include "masticstep/net/NetError.hpp"

namespace masticstep::net {

const char* ToString(NetErrorKind aKind)
{
  switch (aKind) {
    case NetErrorKind::InvalidAddress:
      return "invalid address";
    case NetErrorKind::ResolveFailed:
      return "name not resolved";
    case NetErrorKind::ConnectFailed:
      return "connect failed";
    case NetErrorKind::TimedOut:
      return "timed out";
    case NetErrorKind::Closed:
      return "connection closed";
    case NetErrorKind::Reset:
      return "connection reset";
    case NetErrorKind::Cancelled:
      return "cancelled";
    case NetErrorKind::Malformed:
      return "malformed message";
    case NetErrorKind::HeaderTooLarge:
      return "header too large";
    case NetErrorKind::BodyTooLarge:
      return "body too large";
    case NetErrorKind::TlsFailed:
      return "TLS failed";
    case NetErrorKind::NoMemory:
      return "no memory left";
  }
  return "unknown";
}

std::string ToString(const NetError& aError)
{
  const std::string kind = ToString(aError.kind);
  return aError.detail.empty() ? kind : kind + ": " + aError.detail;
}

std::ostream& operator<<(std::ostream& aStream, NetErrorKind aKind)
{
  return aStream << ToString(aKind);
}

} // namespace masticstep::net
