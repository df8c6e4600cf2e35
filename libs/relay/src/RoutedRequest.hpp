#pragma once

#include "Refusal.hpp"
#include "RequestDigest.hpp"
#include "masticstep/dispatch/RequestPriority.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <memory>

namespace masticstep::relay {

// A caller's request and the route that it matched.
struct RoutedRequest
{
  RequestId number; // unique within this process
  Call call;
  RequestDigest digest;
  std::shared_ptr<const dispatch::RouteTable> table; // in force on arrival of the request
  const dispatch::Route* route = nullptr;            // points into table
  ServiceName service;                // of a resumed stream: until the one that began it is known
  std::optional<AccountName> account; // of the caller, if the configuration has accounts
  dispatch::RequestPriority priority;
  Time arrived;
  Time deadline; // earlier of the caller's and the route's deadline

  Duration TimeLeft(Time aNow) const { return deadline - aNow; }
};

// Parses a request and matches it to a route, or returns the reason for its refusal.
Result<RoutedRequest, Refusal> RouteRequest(RelayState& aState, net::HttpRequest aRequest,
                                            Time aNow);

} // namespace masticstep::relay
