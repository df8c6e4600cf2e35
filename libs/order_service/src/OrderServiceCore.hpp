#pragma once

#include "masticstep/order_service/OrderService.hpp"
#include "masticstep/orders/OrderMachine.hpp"
#include "masticstep/orders/Retention.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <optional>

namespace masticstep::order_service {

// Shared state of the service and its pending operations, which keep it alive for late replies.
class OrderService::Core : public std::enable_shared_from_this<Core>
{
public:
  using ResponseCallback = std::function<void(orders::OrderResponse)>;

  Core(net::Executor aExecutor, std::shared_ptr<platform::ObjectStore> aStore,
       OrderServiceOptions aOptions, std::shared_ptr<telemetry::Metrics> aMetrics);

  // Calls aCallback once, on any thread.
  void Start(OrderCall aCall, ResponseCallback aCallback);
  bool IsIdle();

private:
  struct Pending
  {
    OrderCall call;
    ResponseCallback callback;
  };
  using Transition = std::function<orders::OrderActions(orders::OrderMachine&, Time)>;

  // Applies one transition of the state machine under the lock, then carries out the returned
  // actions without the lock.
  void RunTransition(const Transition& aTransition);
  void Submit(platform::PlatformRequest aRequest);
  void StartDispatch(const orders::OrderDispatch& aDispatch);
  void DeliverResponse(const orders::OrderResponse& aResponse);
  void ArmTimer(Time aTime);
  void CountResponse(const orders::OrderResponse& aResponse);
  // Returns whether a retention run is due and, if so, schedules the next one. Requires the lock.
  bool IsRetentionDue(const ServiceName& aService, Time aNow);
  void SubmitRetention(const std::shared_ptr<orders::Retention>& aRun,
                       std::optional<platform::PlatformRequest> aRequest);

  net::Executor mExecutor;
  const std::shared_ptr<platform::ObjectStore> mStore;
  const OrderServiceOptions mOptions;
  const std::shared_ptr<telemetry::Metrics> mMetrics;
  const std::shared_ptr<net::ConnectionPool> mPool;
  std::mutex mMutex; // guards the members below
  orders::OrderMachine mMachine;
  std::map<RequestId, Pending> mPending;
  std::uint64_t mLastId = 0;
  std::optional<Time> mTimerExpiry;
  std::map<ServiceName, Time> mNextRetention;
};

} // namespace masticstep::order_service
