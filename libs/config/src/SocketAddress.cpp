#include "masticstep/config/SocketAddress.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace masticstep {

namespace {

constexpr std::string_view kHttpScheme = "http://";

std::optional<std::uint16_t> ParsePort(std::string_view aText)
{
  std::uint16_t port = 0;
  const std::from_chars_result parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), port);
  if (aText.empty() || parsed.ec != std::errc{} || parsed.ptr != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return port;
}

bool IsIpAddress(int aFamily, const std::string& aText)
{
  in6_addr buf{};
  return inet_pton(aFamily, aText.c_str(), &buf) == 1;
}

} // namespace

std::optional<SocketAddress> ParseSocketAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<std::uint16_t> port = ParsePort(aText.substr(colon + 1));
  std::string_view ip = aText.substr(0, colon);
  const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (bracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  if (!port.has_value() || !IsIpAddress(bracketed ? AF_INET6 : AF_INET, std::string(ip))) {
    return std::nullopt;
  }
  return SocketAddress{ std::string(ip), *port };
}

std::string ToString(const SocketAddress& aAddress)
{
  const bool isV6 = aAddress.ip.find(':') != std::string::npos;
  return (isV6 ? "[" + aAddress.ip + "]" : aAddress.ip) + ":" + std::to_string(aAddress.port);
}

std::optional<HttpUrl> ParseHttpUrl(std::string_view aText)
{
  if (!aText.starts_with(kHttpScheme)) {
    return std::nullopt;
  }
  const std::string_view rest = aText.substr(kHttpScheme.size());
  const std::size_t slash = rest.find('/');
  const std::optional<SocketAddress> address = ParseSocketAddress(rest.substr(0, slash));
  if (!address.has_value()) {
    return std::nullopt;
  }
  std::string path(slash == std::string_view::npos ? "" : rest.substr(slash));
  if (path.find_first_of("?# \r\n\t") != std::string::npos) {
    return std::nullopt;
  }
  while (!path.empty() && path.back() == '/') {
    path.pop_back();
  }
  return HttpUrl{ *address, path };
}

std::string ToString(const HttpUrl& aUrl)
{
  return std::string(kHttpScheme) + ToString(aUrl.address) + aUrl.path;
}

} // namespace masticstep
