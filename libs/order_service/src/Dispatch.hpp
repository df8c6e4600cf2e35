#pragma once

#include "masticstep/net/ConnectionPool.hpp"
#include "masticstep/net/Task.hpp"
#include "masticstep/order_service/OrderCall.hpp"
#include "masticstep/orders/OrderRequest.hpp"

#include <memory>

namespace masticstep::order_service {

struct DispatchLimits
{
  Duration connectTimeout{};
  std::size_t maximumResponseBytes = 0;

  auto operator<=>(const DispatchLimits&) const = default;
};

// Sends a claimed call to the first reachable server and reads the response. Every call uses a new
// connection because the server may be closing an idle one, in which case it would be unknown
// whether the call arrived.
net::Task<orders::BackendReply> Dispatch(std::shared_ptr<net::ConnectionPool> aPool,
                                         OrderCall aCall, RequestId aId, DispatchLimits aLimits);

} // namespace masticstep::order_service
