#pragma once

#include "masticstep/relay/Call.hpp"

#include <cstdint>
#include <string_view>

namespace masticstep::relay {

// Recognizes requests that come again, with another id and at another daemon. All daemons compute
// the same values.
struct RequestDigest
{
  std::uint64_t content = 0;  // of method, host, target, body and prompt
  std::uint64_t ofCaller = 0; // of the content and the address from which the request came

  bool operator==(const RequestDigest&) const = default;
};

RequestDigest DigestOf(const Call& aCall, std::string_view aSource);

} // namespace masticstep::relay
