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
  std::string processNonce; // 16 hexadecimal digits drawn at the start of the process
  HostName daemon;
  Duration batchInterval = Milliseconds(20); // longest wait for others to share a write
  Duration claimTimeout = Seconds(2);        // after which a claim that is not durable is given up
  std::size_t maximumConcurrentOrders = 10000; // in progress at once

  auto operator<=>(const OrderOptions&) const = default;
};

// Runs the claim protocol of non-idempotent calls for one process (docs/ORDERS.md). Every request
// gets exactly one answer. A call is dispatched at most once for each key, by the process whose
// claim is durable, and only before the request's deadline.
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
  // for it.
  bool IsIdle() const;
  // Number of outcomes given up because too many were waiting for the platform.
  std::uint64_t DroppedOutcomes() const;

private:
  friend class PlantedFault; // defined only in tests
  class Implementation;

  std::unique_ptr<Implementation> mImplementation;
};

} // namespace masticstep::orders
