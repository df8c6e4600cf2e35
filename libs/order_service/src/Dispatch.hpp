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

// Sends a claimed call to the first server that can be reached and reads its answer. Every call
// uses a new connection: on an idle one that the server is closing, it could not be told whether
// the call arrived.
net::Task<orders::BackendReply> Dispatch(std::shared_ptr<net::ConnectionPool> aPool,
                                         OrderCall aCall, RequestId aId, DispatchLimits aLimits);

} // namespace masticstep::order_service
