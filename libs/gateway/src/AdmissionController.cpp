#include "AdmissionController.hpp"

#include "masticstep/net/Clock.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <utility>

namespace masticstep::gateway {

namespace asio = boost::asio;
using admission::RefusalReason;

namespace {

Refusal ToRefusal(const admission::Refusal& aRefusal)
{
  Refusal refusal{ 503, "overload", "the queue of the class is full", RunState::NotRun,
                   aRefusal.retryAfter };
  switch (aRefusal.reason) {
    case RefusalReason::QueueFull:
      break;
    case RefusalReason::UnknownClass:
      refusal.message = "the class has no queue";
      break;
    case RefusalReason::AccountLimit:
      refusal.status = 429;
      refusal.type = "limit";
      refusal.message = "the token limit of the account is used up";
      break;
    case RefusalReason::AccountQueueFull:
      refusal.status = 429;
      refusal.type = "limit";
      refusal.message = "the account's share of the queue is full";
      break;
    case RefusalReason::Deadline:
      refusal.message = "the first-token target of the class cannot be met under the present load";
      break;
  }
  return refusal;
}

admission::AdmissionOptions ToAdmissionOptions(const Configuration& aConfiguration)
{
  admission::AdmissionOptions options;
  for (const Service& service : aConfiguration.Services()) {
    for (const ServiceClass& item : service.classes) {
      options.classes.push_back({ service.name, item.name, item.priority, item.queueLimit });
    }
  }
  for (const ClientAccount& account : aConfiguration.Accounts()) {
    options.accounts.push_back({ account.name, static_cast<double>(account.weight),
                                 static_cast<double>(account.tokensPerSecond),
                                 static_cast<double>(account.burstTokens) });
  }
  return options;
}

} // namespace

struct AdmissionController::Waiter
{
  explicit Waiter(const net::Executor& aExecutor)
    : executor(aExecutor)
    , timer(aExecutor, asio::steady_timer::time_point::max())
  {
  }

  net::Executor executor;
  asio::steady_timer timer;
  std::optional<Result<void, Refusal>> result; // accessed only on the executor
};

AdmissionController::AdmissionController()
  : mQueue(admission::AdmissionOptions())
{
}

AdmissionController::~AdmissionController() = default;

void AdmissionController::OnConfiguration(const Configuration& aConfiguration)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mQueue.SetOptions(ToAdmissionOptions(aConfiguration));
}

net::Task<Result<void, Refusal>> AdmissionController::WaitForAdmission(
  admission::AdmissionRequest aRequest)
{
  const net::Executor executor = co_await asio::this_coro::executor;
  std::shared_ptr<Waiter> waiter;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mDemand.OnOffered(aRequest.account, aRequest.tokens);
    const admission::AdmissionDecision decision = mQueue.Offer(aRequest, net::Now());
    if (decision.kind == admission::AdmissionKind::Admitted) {
      co_return Result<void, Refusal>{};
    }
    if (decision.kind == admission::AdmissionKind::Refused) {
      co_return Failure(ToRefusal(decision.refusal));
    }
    waiter = std::make_shared<Waiter>(executor);
    mWaiters[aRequest.id] = waiter;
  }
  co_return co_await Wait(std::move(waiter));
}

net::Task<Result<void, Refusal>> AdmissionController::Requeue(RequestId aId)
{
  const net::Executor executor = co_await asio::this_coro::executor;
  std::shared_ptr<Waiter> waiter;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const std::optional<admission::Refusal> refusal = mQueue.OnNoCapacity(aId, net::Now());
    if (refusal) {
      co_return Failure(ToRefusal(*refusal));
    }
    waiter = std::make_shared<Waiter>(executor);
    mWaiters[aId] = waiter;
  }
  co_return co_await Wait(std::move(waiter));
}

net::Task<Result<void, Refusal>> AdmissionController::Wait(std::shared_ptr<Waiter> aWaiter)
{
  while (!aWaiter->result) {
    co_await aWaiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return *aWaiter->result;
}

void AdmissionController::Resume(RequestId aId, Result<void, Refusal> aResult)
{
  const auto found = mWaiters.find(aId);
  if (found == mWaiters.end()) {
    return;
  }
  std::shared_ptr<Waiter> waiter = std::move(found->second);
  mWaiters.erase(found);
  const net::Executor executor = waiter->executor;
  asio::post(executor, [waiter = std::move(waiter), result = std::move(aResult)]() mutable {
    waiter->result = std::move(result);
    waiter->timer.cancel();
  });
}

void AdmissionController::ReleaseDue(Time aNow)
{
  for (const admission::Refusal& refusal : mQueue.OnTime(aNow)) {
    Resume(refusal.id, Failure(ToRefusal(refusal)));
  }
  for (const admission::AdmissionRequest& request : mQueue.Release(aNow)) {
    Resume(request.id, {});
  }
}

void AdmissionController::OnRequestEnded(RequestId aId, std::uint32_t aTokens)
{
  const Time now = net::Now();
  const std::lock_guard<std::mutex> lock(mMutex);
  mQueue.OnFinished(aId, aTokens, now);
  ReleaseDue(now);
}

void AdmissionController::Cancel(RequestId aId)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mQueue.Cancel(aId)) {
    Resume(aId, Failure(Refusal{ 503, "cancelled", "the request no longer waits", RunState::NotRun,
                                 std::nullopt }));
  }
}

void AdmissionController::OnTime(Time aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (!mWaiters.empty()) {
    ReleaseDue(aNow);
  }
}

void AdmissionController::SetCapacity(const ServiceName& aService, std::uint64_t aTokens)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mQueue.SetCapacity(aService, aTokens);
}

std::string AdmissionController::EndDemandInterval(Duration aInterval,
                                                   const Configuration& aConfiguration)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mDemand.EndInterval(aInterval, aConfiguration.Accounts());
}

void AdmissionController::OnPeerDemand(const HostName& aHost, std::string_view aValue)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mDemand.OnPeerReport(aHost, aValue, net::Now());
}

void AdmissionController::UpdateShares(const Configuration& aConfiguration)
{
  const Time now = net::Now();
  const std::lock_guard<std::mutex> lock(mMutex);
  mDemand.UpdateTotals(now);
  for (const ClientAccount& account : aConfiguration.Accounts()) {
    if (account.tokensPerSecond > 0) {
      mQueue.SetShare(account.name, mDemand.Share(account), now);
    }
  }
}

std::size_t AdmissionController::Waiting() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mQueue.Waiting();
}

} // namespace masticstep::gateway
