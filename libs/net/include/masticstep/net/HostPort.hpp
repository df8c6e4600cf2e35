#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/net/NetError.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace masticstep::net {

// TCP address: host name or IP address literal, and port.
struct HostPort
{
  std::string host;
  std::uint16_t port = 0;

  std::strong_ordering operator<=>(const HostPort&) const = default;

  // Parses "HOST:PORT" or "[IPV6]:PORT".
  static Result<HostPort, NetError> Parse(std::string_view aText);
  // Parses "http://HOST[:PORT][/]"; the port defaults to 80.
  static Result<HostPort, NetError> ParseUrl(std::string_view aUrl);
};

std::string ToString(const HostPort& aAddress);

} // namespace masticstep::net
