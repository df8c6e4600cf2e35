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
  // 16 hexadecimal digits from a random device, drawn anew at every start of the process. Two
  // processes with one nonce could both dispatch the same call.
  std::string processNonce;
  Duration connectTimeout = Milliseconds(500); // to a backend server
  std::size_t maximumResponseBytes = 1048576;  // longest answer of a backend server

  auto operator<=>(const OrderServiceOptions&) const = default;
};

// Runs the order protocol of docs/ORDERS.md for the calls of one daemon.
//
// How the gateway uses it:
//
//   OrderCall call{ service, account, key, DigestOf(request), targets, deadline };
//   const orders::OrderResponse answer = co_await service->Execute(std::move(call));
//
// answer.kind Executed: relay httpStatus, contentType and body; `replayed` tells an answer from the
// record of an earlier request. Otherwise refuse with httpStatus, the message
// orders::MessageOf(answer.reason), and "run" as "not_run" or "unknown" by answer.kind. A missing
// key is passed on empty and refused here. Do not retry a call, whatever the answer.
//
// A graceful shutdown lets the running Execute calls end and then awaits Drain.
class OrderService
{
public:
  // The executor runs platform callbacks, dispatches and timers and must outlive the service; the
  // metrics may be null.
  OrderService(net::Executor aExecutor, std::shared_ptr<platform::ObjectStore> aStore,
               OrderServiceOptions aOptions, std::shared_ptr<telemetry::Metrics> aMetrics);
  ~OrderService();
  OrderService(const OrderService&) = delete;
  OrderService& operator=(const OrderService&) = delete;

  // Ends at the deadline at the latest, or shortly after it. Safe to use from every thread.
  net::Task<orders::OrderResponse> Execute(OrderCall aCall);

  // Returns true once no call is in progress and every outcome is recorded; false at the deadline.
  net::Task<bool> Drain(Time aDeadline);

private:
  class Core;

  std::shared_ptr<Core> mCore;
};

} // namespace masticstep::order_service
