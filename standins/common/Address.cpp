#include "common/Address.hpp"

#include <charconv>

namespace masticstep::standins {

Result<Address, std::string> ParseAddress(const std::string& aText)
{
  const std::string scheme = "http://";
  std::string rest = aText.starts_with(scheme) ? aText.substr(scheme.size()) : aText;
  rest = rest.substr(0, rest.find('/'));
  const std::size_t colon = rest.rfind(':');
  if (colon == std::string::npos) {
    return Failure("address '" + aText + "' has no port");
  }
  Address address;
  address.host = rest.substr(0, colon);
  const char* end = rest.data() + rest.size();
  const std::from_chars_result parsed = std::from_chars(rest.data() + colon + 1, end, address.port);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return Failure("address '" + aText + "' has an invalid port");
  }
  ErrorCode ec;
  asio::ip::make_address(address.host, ec);
  if (ec) {
    return Failure("host of '" + aText + "' is not a numeric IP address");
  }
  return address;
}

Tcp::endpoint EndpointOf(const Address& aAddress)
{
  ErrorCode ec;
  const asio::ip::address host = asio::ip::make_address(aAddress.host, ec);
  return { host, aAddress.port };
}

} // namespace masticstep::standins
