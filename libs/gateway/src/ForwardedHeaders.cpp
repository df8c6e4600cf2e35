#include "ForwardedHeaders.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace masticstep::gateway {

net::HttpHeaders ForwardedHeaders(const net::HttpHeaders& aHeaders)
{
  constexpr std::array<const char*, 14> kRemovedHeaders = {
    "Connection",          "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Authorization", "TE",         "Trailer",
    "Transfer-Encoding",   "Upgrade",    "Host",
    "Content-Length",      "Expect",     "Authorization",
    "X-Request-Id",        "X-Account"
  };
  net::HttpHeaders forwarded;
  for (const net::HttpHeader& header : aHeaders) {
    const bool isRemoved =
      std::any_of(kRemovedHeaders.begin(), kRemovedHeaders.end(), [&header](const char* aName) {
        return boost::beast::iequals(header.name, aName);
      });
    if (!isRemoved) {
      forwarded.push_back(header);
    }
  }
  return forwarded;
}

} // namespace masticstep::gateway
