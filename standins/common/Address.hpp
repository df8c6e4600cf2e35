#pragma once

#include "common/Asio.hpp"

#include "masticstep/base/Result.hpp"

#include <string>

namespace masticstep::standins {

// Numeric IP address and port, for example "127.0.0.1:80".
struct Address
{
  std::string host;
  std::uint16_t port = 0;

  std::string Text() const { return host + ":" + std::to_string(port); }
  auto operator<=>(const Address&) const = default;
};

// Parses "HOST:PORT" or "http://HOST:PORT[/...]"; a path is ignored. Returns an error message if
// the text is malformed or the host is not a numeric IP address.
Result<Address, std::string> ParseAddress(const std::string& aText);

// Converts to an Asio endpoint; the host is unspecified if it is not a numeric IP address.
Tcp::endpoint EndpointOf(const Address& aAddress);

} // namespace masticstep::standins
