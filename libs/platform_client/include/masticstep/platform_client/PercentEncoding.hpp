#pragma once

#include <string>
#include <string_view>

namespace masticstep::platform_client {

// Percent-encodes all but the unreserved characters of RFC 3986 and '/', which separates the
// segments of a key.
std::string PercentEncode(std::string_view aText);

} // namespace masticstep::platform_client
