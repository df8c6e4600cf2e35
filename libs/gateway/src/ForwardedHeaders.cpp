#include "ForwardedHeaders.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace masticstep::gateway {

net::HttpHeaders ForwardedHeaders(const net::HttpHeaders& aHeaders)
{
  constexpr std::array<const char*, 14> kDropped = {
    "Connection",          "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Authorization", "TE",         "Trailer",
    "Transfer-Encoding",   "Upgrade",    "Host",
    "Content-Length",      "Expect",     "Authorization",
    "X-Request-Id",        "X-Account"
  };
  net::HttpHeaders passed;
  for (const net::HttpHeader& header : aHeaders) {
    const bool isDropped =
      std::any_of(kDropped.begin(), kDropped.end(), [&header](const char* aName) {
        return boost::beast::iequals(header.name, aName);
      });
    if (!isDropped) {
      passed.push_back(header);
    }
  }
  return passed;
}

} // namespace masticstep::gateway
