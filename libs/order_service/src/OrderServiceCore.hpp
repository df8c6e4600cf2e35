#pragma once

#include "masticstep/order_service/OrderService.hpp"
#include "masticstep/orders/OrderMachine.hpp"
#include "masticstep/orders/Retention.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <optional>

namespace masticstep::order_service {

// Shared by the service and everything that runs for it, so that a late reply finds it alive.
class OrderService::Core : public std::enable_shared_from_this<Core>
{
public:
  using Done = std::function<void(orders::OrderResponse)>;

  Core(net::Executor aExecutor, std::shared_ptr<platform::ObjectStore> aStore,
       OrderServiceOptions aOptions, std::shared_ptr<telemetry::Metrics> aMetrics);

  // Calls aDone once, on any thread.
  void Start(OrderCall aCall, Done aDone);
  bool IsIdle();

private:
  struct Pending
  {
    OrderCall call;
    Done done;
  };
  using Step = std::function<orders::OrderActions(orders::OrderMachine&, Time)>;

  // Runs one step of the machine under the lock, then what it asks for without the lock.
  void Run(const Step& aStep);
  void Submit(platform::PlatformRequest aRequest);
  void StartDispatch(const orders::OrderDispatch& aDispatch);
  void Answer(const orders::OrderResponse& aAnswer);
  void Arm(Time aTime);
  void Count(const orders::OrderResponse& aAnswer);
  // Returns whether a retention run is due, and sets the time of the next; the lock is held.
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
  std::optional<Time> mArmedFor;
  std::map<ServiceName, Time> mNextRetention;
};

} // namespace masticstep::order_service
