#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticstep {

// IP address and TCP port. Host names are not supported, since daemons connect to each other by IP
// address.
struct SocketAddress
{
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const SocketAddress&) const = default;
};

// Parses an address such as "127.0.0.1:8080" or "[::1]:8080". Returns nullopt if the text is
// invalid.
std::optional<SocketAddress> ParseSocketAddress(std::string_view aText);

// Formats an address in the form that ParseSocketAddress accepts.
std::string ToString(const SocketAddress& aAddress);

// Address and path prefix of a plain HTTP server.
struct HttpUrl
{
  SocketAddress address;
  std::string path; // without a trailing slash; empty for the root

  auto operator<=>(const HttpUrl&) const = default;
};

// Parses a URL of the form "http://IP:PORT[/path]". Returns nullopt if the text is invalid.
std::optional<HttpUrl> ParseHttpUrl(std::string_view aText);

// Formats a URL in the form that ParseHttpUrl accepts.
std::string ToString(const HttpUrl& aUrl);

} // namespace masticstep
