#include "OrderServiceCore.hpp"

#include "Dispatch.hpp"
#include "masticstep/base/Hash.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <utility>

namespace masticstep::order_service {

using orders::OrderActions;
using orders::OrderMachine;
using orders::OrderResponse;
using orders::ResponseKind;

namespace {

constexpr Duration kRetentionInterval = Seconds(600);

orders::WallTime WallNow()
{
  const std::chrono::system_clock::duration n = std::chrono::system_clock::now().time_since_epoch();
  return { std::chrono::duration_cast<std::chrono::milliseconds>(n).count() };
}

orders::OrderOptions MachineOptions(const OrderServiceOptions& aOptions)
{
  orders::OrderOptions options;
  options.processNonce = aOptions.processNonce;
  options.daemon = aOptions.daemon;
  return options;
}

const char* ResultOf(const OrderResponse& aResponse)
{
  if (aResponse.kind == ResponseKind::Executed) {
    return aResponse.replayed ? "replayed" : "executed";
  }
  return aResponse.kind == ResponseKind::NotRun ? "not_run" : "unknown";
}

} // namespace

OrderService::Core::Core(net::Executor aExecutor, std::shared_ptr<platform::ObjectStore> aStore,
                         OrderServiceOptions aOptions, std::shared_ptr<telemetry::Metrics> aMetrics)
  : mExecutor(std::move(aExecutor))
  , mStore(std::move(aStore))
  , mOptions(std::move(aOptions))
  , mMetrics(std::move(aMetrics))
  , mPool(net::ConnectionPool::Create())
  , mMachine(MachineOptions(mOptions))
{
}

void OrderService::Core::Start(OrderCall aCall, ResponseCallback aCallback)
{
  const ServiceName service = aCall.service;
  bool retentionDue = false;
  RunTransition([&, this](OrderMachine& aMachine, Time aNow) {
    retentionDue = IsRetentionDue(service, aNow);
    const RequestId id{ ++mLastId };
    const orders::OrderRequest request{ id,           aCall.service,  aCall.account, aCall.key,
                                        aCall.digest, aCall.deadline, WallNow() };
    mPending[id] = { std::move(aCall), std::move(aCallback) };
    return aMachine.Start(request, aNow);
  });
  if (retentionDue) {
    const std::shared_ptr<orders::Retention> run =
      std::make_shared<orders::Retention>(service, WallNow());
    SubmitRetention(run, run->Start());
  }
}

bool OrderService::Core::IsRetentionDue(const ServiceName& aService, Time aNow)
{
  // The offset spreads the daemons over the interval, so that usually one of them does the work and
  // the others find that the floor is recent.
  const Duration offset =
    Milliseconds(static_cast<std::int64_t>(Hash64(mOptions.processNonce) % 600000));
  const std::map<ServiceName, Time>::iterator it =
    mNextRetention.try_emplace(aService, aNow + offset).first;
  if (aNow < it->second) {
    return false;
  }
  it->second = aNow + kRetentionInterval;
  return true;
}

void OrderService::Core::SubmitRetention(const std::shared_ptr<orders::Retention>& aRun,
                                         std::optional<platform::PlatformRequest> aRequest)
{
  if (!aRequest) {
    return;
  }
  mStore->Submit(std::move(*aRequest),
                 [self = shared_from_this(), aRun](const platform::PlatformReply& aReply) {
                   self->SubmitRetention(aRun, aRun->OnPlatformReply(aReply));
                 });
}

bool OrderService::Core::IsIdle()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mPending.empty() && mMachine.IsIdle();
}

void OrderService::Core::RunTransition(const Transition& aTransition)
{
  OrderActions actions;
  std::optional<Time> next;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    actions = aTransition(mMachine, net::Now());
    next = mMachine.NextWakeUp();
    // An earlier timer that is already set will arm the next one when it expires.
    if (!next || (mTimerExpiry && *mTimerExpiry <= *next)) {
      next.reset();
    } else {
      mTimerExpiry = next;
    }
  }
  if (next) {
    ArmTimer(*next);
  }
  for (platform::PlatformRequest& request : actions.requests) {
    Submit(std::move(request));
  }
  for (const orders::OrderDispatch& dispatch : actions.dispatches) {
    StartDispatch(dispatch);
  }
  for (const OrderResponse& response : actions.responses) {
    DeliverResponse(response);
  }
}

void OrderService::Core::Submit(platform::PlatformRequest aRequest)
{
  mStore->Submit(std::move(aRequest),
                 [self = shared_from_this()](const platform::PlatformReply& aReply) {
                   self->RunTransition([&aReply](OrderMachine& aMachine, Time aNow) {
                     return aMachine.OnPlatformReply(aReply, aNow);
                   });
                 });
}

void OrderService::Core::StartDispatch(const orders::OrderDispatch& aDispatch)
{
  OrderCall call;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    call = mPending.at(aDispatch.id).call;
  }
  const DispatchLimits limits{ mOptions.connectTimeout, mOptions.maximumResponseBytes };
  boost::asio::co_spawn(boost::asio::make_strand(mExecutor),
                        Dispatch(mPool, std::move(call), aDispatch.id, limits),
                        [self = shared_from_this(), id = aDispatch.id](
                          const std::exception_ptr& aError, orders::BackendReply aReply) {
                          if (aError) {
                            aReply = { id, orders::BackendStatus::Unknown, 0, {}, {} };
                          }
                          self->RunTransition([&aReply](OrderMachine& aMachine, Time aNow) {
                            return aMachine.OnBackendReply(aReply, aNow);
                          });
                        });
}

void OrderService::Core::DeliverResponse(const OrderResponse& aResponse)
{
  Pending pending;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const std::map<RequestId, Pending>::iterator it = mPending.find(aResponse.id);
    if (it == mPending.end()) {
      return;
    }
    pending = std::move(it->second);
    mPending.erase(it);
  }
  CountResponse(aResponse);
  if (aResponse.kind == ResponseKind::Unknown) {
    const bool isNew = aResponse.reason == orders::ResponseReason::BackendNoResponse;
    telemetry::Log(isNew ? telemetry::Level::Warning : telemetry::Level::Info, "order_unknown",
                   { { "service", pending.call.service.Text() },
                     { "account", pending.call.account.Text() },
                     { "idempotency_key", pending.call.key },
                     { "reason", orders::MessageOf(aResponse.reason) } });
  }
  pending.callback(aResponse);
}

void OrderService::Core::ArmTimer(Time aTime)
{
  const auto wait = [](std::shared_ptr<Core> aSelf, Time aUntil) -> net::Task<void> {
    const Duration span = std::max(aUntil - net::Now(), Duration::zero());
    co_await net::Sleep(span);
    aSelf->RunTransition([&aSelf, aUntil](OrderMachine& aMachine, Time aNow) {
      if (aSelf->mTimerExpiry == aUntil) {
        aSelf->mTimerExpiry.reset();
      }
      return aMachine.OnTime(aNow);
    });
  };
  boost::asio::co_spawn(boost::asio::make_strand(mExecutor), wait(shared_from_this(), aTime),
                        boost::asio::detached);
}

void OrderService::Core::CountResponse(const OrderResponse& aResponse)
{
  if (mMetrics) {
    mMetrics->GetCounter({ "masticstep_orders_total", "result", ResultOf(aResponse) })->Add();
  }
}

} // namespace masticstep::order_service
