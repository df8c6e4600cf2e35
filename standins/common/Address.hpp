#pragma once

#include "common/Asio.hpp"

#include "masticstep/base/Result.hpp"

#include <string>

namespace masticstep::standins {

// Numeric IP address and port, written "127.0.0.1:80".
struct Address
{
  std::string host;
  std::uint16_t port = 0;

  std::string Text() const { return host + ":" + std::to_string(port); }
  auto operator<=>(const Address&) const = default;
};

// Reads "HOST:PORT" or "http://HOST:PORT[/...]". The error says what is wrong.
Result<Address, std::string> ParseAddress(const std::string& aText);

// Returns the endpoint of a numeric address; an unspecified one if the host is not numeric.
Tcp::endpoint EndpointOf(const Address& aAddress);

} // namespace masticstep::standins
