#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/net/HostPort.hpp"
#include "masticstep/net/HttpMessage.hpp"

#include <string>
#include <vector>

namespace masticstep::order_service {

// One backend server of a plain service and the request in the form that this server expects.
struct OrderTarget
{
  net::HostPort address;
  net::HttpRequest request;

  bool operator==(const OrderTarget&) const = default;
};

// One non-idempotent call, as received from a caller.
struct OrderCall
{
  ServiceName service;
  AccountName account;
  std::string key;    // Idempotency-Key header as received; may be empty or malformed
  std::string digest; // Sha256Hex of method, target and body as received
  // Servers in order of preference. The next one is tried only if no connection to the previous one
  // could be opened, so that no byte of the call reached it.
  std::vector<OrderTarget> targets;
  Time deadline; // for the whole call

  bool operator==(const OrderCall&) const = default;
};

// Returns the digest for OrderCall::digest. Headers are excluded because proxies modify them.
std::string DigestOf(const net::HttpRequest& aRequest);

} // namespace masticstep::order_service
