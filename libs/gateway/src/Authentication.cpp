#include "Authentication.hpp"

#include "masticstep/base/Hash.hpp"

#include <boost/beast/core/string.hpp>

#include <string_view>

namespace masticstep::gateway {

Result<const ClientAccount*, Refusal> Authenticate(const Configuration& aConfiguration,
                                                   const net::HttpHeaders& aHeaders)
{
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value = net::FindHeader(aHeaders, "Authorization");
  const std::string_view scheme = value.substr(0, kScheme.size());
  // Authentication scheme names are case-insensitive.
  if (!boost::beast::iequals({ scheme.data(), scheme.size() }, "Bearer ")) {
    return Failure(Unauthorized());
  }
  // The lookup compares digests, so its duration reveals nothing about the key.
  const std::string digest = Sha256Hex(value.substr(kScheme.size()));
  const ClientAccount* account = aConfiguration.FindAccountByKey(digest);
  if (account == nullptr) {
    return Failure(Unauthorized());
  }
  return account;
}

} // namespace masticstep::gateway
