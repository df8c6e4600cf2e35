#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticstep {

// IP number and TCP port. Host names are not accepted: daemons reach each other by IP numbers.
struct SocketAddress
{
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const SocketAddress&) const = default;
};

// Parses "127.0.0.1:8080" or "[::1]:8080"; returns nothing if the text is not of that form.
std::optional<SocketAddress> ParseSocketAddress(std::string_view aText);

// Formats an address as ParseSocketAddress reads it.
std::string ToString(const SocketAddress& aAddress);

// Address and path prefix of a plain HTTP server.
struct HttpUrl
{
  SocketAddress address;
  std::string path; // without a trailing slash; empty for the root

  auto operator<=>(const HttpUrl&) const = default;
};

// Parses "http://IP:PORT[/path]"; returns nothing if the text is not of that form.
std::optional<HttpUrl> ParseHttpUrl(std::string_view aText);

// Formats a URL as ParseHttpUrl reads it.
std::string ToString(const HttpUrl& aUrl);

} // namespace masticstep
