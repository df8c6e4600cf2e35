#include "masticstep/net/HostPort.hpp"

#include <charconv>

namespace masticstep::net {

namespace {

tl::unexpected<NetError> Invalid(std::string_view aText, const char* aAllowed)
{
  return Failure(NetError{ NetErrorKind::InvalidAddress,
                           "'" + std::string(aText) + "' is not " + std::string(aAllowed) });
}

} // namespace

Result<HostPort, NetError> HostPort::Parse(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return Invalid(aText, "HOST:PORT");
  }
  std::string_view host = aText.substr(0, colon);
  if (host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const std::string_view digits = aText.substr(colon + 1);
  HostPort address{ std::string(host), 0 };
  const char* const last = digits.data() + digits.size();
  const std::from_chars_result parsed = std::from_chars(digits.data(), last, address.port);
  if (digits.empty() || parsed.ec != std::errc() || parsed.ptr != last || address.host.empty()) {
    return Invalid(aText, "HOST:PORT");
  }
  return address;
}

Result<HostPort, NetError> HostPort::ParseUrl(std::string_view aUrl)
{
  constexpr std::string_view kScheme = "http://";
  if (!aUrl.starts_with(kScheme)) {
    return Invalid(aUrl, "http://HOST:PORT");
  }
  std::string_view rest = aUrl.substr(kScheme.size());
  if (rest.ends_with('/')) {
    rest.remove_suffix(1);
  }
  if (rest.empty() || rest.find('/') != std::string_view::npos) {
    return Invalid(aUrl, "http://HOST:PORT");
  }
  const bool hasPort = rest.rfind(':') != std::string_view::npos && !rest.ends_with(']');
  return hasPort ? Parse(rest) : Parse(std::string(rest) + ":80");
}

std::string ToString(const HostPort& aAddress)
{
  const bool isIpv6 = aAddress.host.find(':') != std::string::npos;
  const std::string host = isIpv6 ? "[" + aAddress.host + "]" : aAddress.host;
  return host + ":" + std::to_string(aAddress.port);
}

} // namespace masticstep::net
