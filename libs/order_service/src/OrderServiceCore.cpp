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

const char* ResultOf(const OrderResponse& aAnswer)
{
  if (aAnswer.kind == ResponseKind::Executed) {
    return aAnswer.replayed ? "replayed" : "executed";
  }
  return aAnswer.kind == ResponseKind::NotRun ? "not_run" : "unknown";
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

void OrderService::Core::Start(OrderCall aCall, Done aDone)
{
  const ServiceName service = aCall.service;
  bool retentionDue = false;
  Run([&, this](OrderMachine& aMachine, Time aNow) {
    retentionDue = IsRetentionDue(service, aNow);
    const RequestId id{ ++mLastId };
    const orders::OrderRequest request{ id,           aCall.service,  aCall.account, aCall.key,
                                        aCall.digest, aCall.deadline, WallNow() };
    mPending[id] = { std::move(aCall), std::move(aDone) };
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
  // Daemons start at different times of the interval, so that usually one of them does the work and
  // the others find the floor fresh.
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

void OrderService::Core::Run(const Step& aStep)
{
  OrderActions actions;
  std::optional<Time> next;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    actions = aStep(mMachine, net::Now());
    next = mMachine.NextWakeUp();
    // A timer that is already set for an earlier time sets the next one itself.
    if (!next || (mArmedFor && *mArmedFor <= *next)) {
      next.reset();
    } else {
      mArmedFor = next;
    }
  }
  if (next) {
    Arm(*next);
  }
  for (platform::PlatformRequest& request : actions.requests) {
    Submit(std::move(request));
  }
  for (const orders::OrderDispatch& dispatch : actions.dispatches) {
    StartDispatch(dispatch);
  }
  for (const OrderResponse& answer : actions.responses) {
    Answer(answer);
  }
}

void OrderService::Core::Submit(platform::PlatformRequest aRequest)
{
  mStore->Submit(std::move(aRequest),
                 [self = shared_from_this()](const platform::PlatformReply& aReply) {
                   self->Run([&aReply](OrderMachine& aMachine, Time aNow) {
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
                          self->Run([&aReply](OrderMachine& aMachine, Time aNow) {
                            return aMachine.OnBackendReply(aReply, aNow);
                          });
                        });
}

void OrderService::Core::Answer(const OrderResponse& aAnswer)
{
  Pending pending;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const std::map<RequestId, Pending>::iterator it = mPending.find(aAnswer.id);
    if (it == mPending.end()) {
      return;
    }
    pending = std::move(it->second);
    mPending.erase(it);
  }
  Count(aAnswer);
  if (aAnswer.kind == ResponseKind::Unknown) {
    const bool isNew = aAnswer.reason == orders::ResponseReason::BackendNoResponse;
    telemetry::Log(isNew ? telemetry::Level::Warning : telemetry::Level::Info, "order_unknown",
                   { { "service", pending.call.service.Text() },
                     { "account", pending.call.account.Text() },
                     { "idempotency_key", pending.call.key },
                     { "reason", orders::MessageOf(aAnswer.reason) } });
  }
  pending.done(aAnswer);
}

void OrderService::Core::Arm(Time aTime)
{
  const auto wait = [](std::shared_ptr<Core> aSelf, Time aUntil) -> net::Task<void> {
    const Duration span = std::max(aUntil - net::Now(), Duration::zero());
    co_await net::Sleep(span);
    aSelf->Run([&aSelf, aUntil](OrderMachine& aMachine, Time aNow) {
      if (aSelf->mArmedFor == aUntil) {
        aSelf->mArmedFor.reset();
      }
      return aMachine.OnTime(aNow);
    });
  };
  boost::asio::co_spawn(boost::asio::make_strand(mExecutor), wait(shared_from_this(), aTime),
                        boost::asio::detached);
}

void OrderService::Core::Count(const OrderResponse& aAnswer)
{
  if (mMetrics) {
    mMetrics->GetCounter({ "masticstep_orders_total", "result", ResultOf(aAnswer) })->Add();
  }
}

} // namespace masticstep::order_service
