#pragma once

#include "masticstep/net/ConnectionPool.hpp"
#include "masticstep/net/Task.hpp"
#include "masticstep/order_service/OrderCall.hpp"
#include "masticstep/orders/OrderActions.hpp"
#include "masticstep/platform/ObjectStore.hpp"
#include "masticstep/telemetry/Metrics.hpp"

#include <memory>
#include <string>

namespace masticstep::order_service {

struct OrderServiceOptions
{
  HostName daemon;
  // 16 random hexadecimal digits, generated at every process start. Two processes with the same
  // nonce could both dispatch the same call.
  std::string processNonce;
  Duration connectTimeout = Milliseconds(500); // to a backend server
  std::size_t maximumResponseBytes = 1048576;  // of a backend server

  auto operator<=>(const OrderServiceOptions&) const = default;
};

// Executes the non-idempotent calls of one daemon by the order protocol (docs/ORDERS.md).
//
// Usage:
//
//   OrderCall call{ service, account, key, DigestOf(request), targets, deadline };
//   const orders::OrderResponse response = co_await service->Execute(std::move(call));
//
// If response.kind is Executed, relay httpStatus, contentType and body; `replayed` marks a response
// from the record of an earlier request. Otherwise refuse the request with httpStatus, the message
// orders::MessageOf(response.reason) and "run" set to "not_run" or "unknown" according to
// response.kind. Pass a missing key as an empty string; it is refused here. Never retry a call,
// whatever the response.
//
// A graceful shutdown waits for the pending Execute calls and then for Drain.
class OrderService
{
public:
  // aExecutor runs platform callbacks, dispatches and timers and must outlive the service. aMetrics
  // may be null.
  OrderService(net::Executor aExecutor, std::shared_ptr<platform::ObjectStore> aStore,
               OrderServiceOptions aOptions, std::shared_ptr<telemetry::Metrics> aMetrics);
  ~OrderService();
  OrderService(const OrderService&) = delete;
  OrderService& operator=(const OrderService&) = delete;

  // Completes by the deadline of the call or shortly after it. Thread-safe.
  net::Task<orders::OrderResponse> Execute(OrderCall aCall);

  // Returns true once no call is in progress and every outcome is durable, or false at the
  // deadline.
  net::Task<bool> Drain(Time aDeadline);

private:
  class Core;

  std::shared_ptr<Core> mCore;
};

} // namespace masticstep::order_service
