#pragma once

#include "Refusal.hpp"
#include "masticstep/relay/RelayState.hpp"

#include <memory>

namespace masticstep::relay {

// A caller's request with the route that it takes.
struct RoutedRequest
{
  RequestId number; // within this process
  Call call;
  std::shared_ptr<const dispatch::RouteTable> table; // in force when the request arrived
  const dispatch::Route* route = nullptr;            // of the table
  ServiceName service;
  Time arrived;
  Time deadline; // of the caller or of the route, the earlier one

  Duration TimeLeft(Time aNow) const { return deadline - aNow; }
};

// Finds the route of a request, or the reason why it is refused.
Result<RoutedRequest, Refusal> RouteRequest(RelayState& aState, net::HttpRequest aRequest,
                                            Time aNow);

} // namespace masticstep::relay
