#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/orders/OrderActions.hpp"
#include "masticstep/orders/OrderRequest.hpp"
#include "masticstep/platform/PlatformReply.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace masticstep::orders {

struct OrderOptions
{
  std::string processNonce; // 16 random hexadecimal digits, generated at process start
  HostName daemon;
  Duration batchInterval = Milliseconds(20);   // longest delay of a claim, for batching
  Duration claimTimeout = Seconds(2);          // a claim that is not durable by then is refused
  std::size_t maximumConcurrentOrders = 10000; // further requests are refused

  auto operator<=>(const OrderOptions&) const = default;
};

// State machine of the at-most-once protocol for non-idempotent calls in one process
// (docs/ORDERS.md). It performs no I/O: its member functions return the effects to carry out.
// Every request gets exactly one response. A call is dispatched at most once for each key, by the
// process whose claim is durable, and only before the request's deadline.
class OrderMachine
{
public:
  explicit OrderMachine(OrderOptions aOptions);
  OrderMachine(const OrderMachine& aOther);
  OrderMachine& operator=(const OrderMachine& aOther);
  OrderMachine(OrderMachine&&) noexcept;
  OrderMachine& operator=(OrderMachine&&) noexcept;
  ~OrderMachine();

  OrderActions Start(const OrderRequest& aRequest, Time aNow);
  OrderActions OnPlatformReply(const platform::PlatformReply& aReply, Time aNow);
  OrderActions OnBackendReply(const BackendReply& aReply, Time aNow);
  OrderActions OnTime(Time aNow);
  std::optional<Time> NextWakeUp() const;

  // Returns whether no order is in progress and every outcome is durable. A graceful shutdown waits
  // until this holds.
  bool IsIdle() const;
  // Number of outcomes discarded because too many were waiting to be stored.
  std::uint64_t DroppedOutcomes() const;

private:
  friend class FaultInjector; // defined in tests only
  class Implementation;

  std::unique_ptr<Implementation> mImplementation;
};

} // namespace masticstep::orders
