#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/net/HostPort.hpp"
#include "masticstep/net/HttpMessage.hpp"

#include <string>
#include <vector>

namespace masticstep::order_service {

// One server of the plain service and the request as this server expects it.
struct OrderTarget
{
  net::HostPort address;
  net::HttpRequest request;

  bool operator==(const OrderTarget&) const = default;
};

// One non-idempotent call of a caller.
struct OrderCall
{
  ServiceName service;
  AccountName account;
  std::string key;    // header Idempotency-Key as received; may be empty or malformed
  std::string digest; // Sha256Hex of method, target and body as received
  // Servers in the order of preference. The next one is tried only if the connection to the one
  // before could not be opened, so that no byte reached it.
  std::vector<OrderTarget> targets;
  Time deadline; // for the whole call

  bool operator==(const OrderCall&) const = default;
};

// Returns the digest of a call for OrderCall. Headers are left out: proxies change them.
std::string DigestOf(const net::HttpRequest& aRequest);

} // namespace masticstep::order_service
