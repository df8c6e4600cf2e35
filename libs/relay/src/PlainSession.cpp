#include "PlainSession.hpp"

#include "masticstep/net/Clock.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace masticstep::relay {

using dispatch::Outcome;

struct PlainSession::Try
{
  Try(RelayState& aState, const dispatch::Backend& aBackend, const std::string& aCallId,
      net::ConnectionIds& aUsedConnections)
    : backend(aBackend)
    , exchange(aState, aBackend, aCallId, aUsedConnections)
  {
  }

  // Returns whether the answer may be given to the caller as it is.
  bool IsGood() const { return hasEnded && head && body && !IsServerError(head->status); }

  const dispatch::Backend backend;
  Exchange exchange;
  Result<BackendResponseHead, ExchangeError> head{ Failure(ExchangeError{}) };
  Result<std::string, net::NetError> body;
  bool hasEnded = false;
};

net::Task<void> PlainSession::Run()
{
  Step step = Step::Continue;
  while (step == Step::Continue) {
    step = co_await Attempt();
  }
}

net::Task<PlainSession::Step> PlainSession::Attempt()
{
  if (IsCallerGone() || IsPastDeadline()) {
    co_await GiveUp("deadline", "the deadline has passed");
    co_return Step::Done;
  }
  if (IsRefusedByShutdown()) {
    co_await RefuseForShutdown();
    co_return Step::Done;
  }
  if (IsQuarantined()) {
    co_await GiveUp("quarantined", kQuarantinedMessage);
    co_return Step::Done;
  }
  if (IsKeyWithdrawn()) {
    co_await RefuseWithdrawnKey();
    co_return Step::Done;
  }
  const std::optional<dispatch::Backend> backend =
    mState->dispatcher.ChooseServer(mRequest.service, mExcluded, net::Now());
  if (!backend) {
    mRetryAfter = mState->dispatcher.RetryAfter(mRequest.service, net::Now());
    co_await GiveUp("no_backend", "no backend server of the service is available");
    co_return Step::Done;
  }
  if (MayHedge()) {
    co_return co_await HedgedAttempt(*backend);
  }
  mState->dispatcher.OnSent(backend->id, mRequest.number, Duration::zero(), 0, net::Now());
  Exchange exchange(*mState, *backend, mRequest.call.id, mUsedConnections);
  mActiveExchange = &exchange;
  net::HttpRequest request =
    mState->dialect->BuildBackendRequest(mRequest.call, OptionsFor(*backend));
  const Result<BackendResponseHead, ExchangeError> head =
    co_await exchange.Start(std::move(request), mRequest.deadline, MaximumIdle());
  Step step = Step::Done;
  if (head) {
    step = co_await RelayResponse(*backend, exchange, *head);
  } else {
    step = co_await HandleFailure(*backend, head.error());
  }
  mActiveExchange = nullptr;
  co_return step;
}

net::Task<PlainSession::Step> PlainSession::RelayResponse(const dispatch::Backend& aBackend,
                                                          Exchange& aExchange,
                                                          BackendResponseHead aHead)
{
  if (!aHead.isSigned || aHead.isEncoded) {
    // The body is not read, since it may have no end.
    aExchange.Close();
    co_return co_await HandleFailure(aBackend, UnusableResponseError(aHead));
  }
  Result<std::string, net::NetError> body = co_await aExchange.ReadAll();
  if (!body) {
    ExchangeError error{ Progress::Unknown, body.error().kind, net::ToString(body.error()) };
    co_return co_await HandleFailure(aBackend, std::move(error));
  }
  co_return co_await RelayAnswer(aBackend, aExchange, std::move(aHead), std::move(*body));
}

net::Task<PlainSession::Step> PlainSession::RelayAnswer(const dispatch::Backend& aBackend,
                                                        Exchange& aExchange,
                                                        BackendResponseHead aHead,
                                                        std::string aBody)
{
  const bool isError = IsServerError(aHead.status);
  mState->dispatcher.OnDone(aBackend.id, mRequest.number,
                            isError ? Outcome::Failed : Outcome::Answered, net::Now());
  ReportAnswer(isError ? Suspects::WholeRequest : Suspects::All);
  ++mExecutions;
  mPossiblyExecuted = true;
  CountBegun();
  if (isError && mRequest.route->IsRetryable() && mExecutions < mRequest.route->attempts &&
      !IsCallerGone() && TryTakeRetry()) {
    mExcluded.push_back(aBackend.id);
    co_return Step::Continue;
  }
  LogCompletion(IsSuccess(aHead.status) ? "answered" : "backend_error", aHead.status);
  net::HttpResponse response{ aHead.status,
                              mState->dialect->SelectCallerHeaders(aExchange.Headers()),
                              std::move(aBody) };
  co_await mResponder.Send(std::move(response));
  co_return Step::Done;
}

net::Task<PlainSession::Step> PlainSession::HandleFailure(const dispatch::Backend& aBackend,
                                                          ExchangeError aError)
{
  mState->dispatcher.OnDone(aBackend.id, mRequest.number, OutcomeOf(aError), net::Now());
  LogFailure(aBackend, aError);
  ReportBrokenAnswer(aBackend, aError);
  mExcluded.push_back(aBackend.id);
  if (aError.progress == Progress::Unknown) {
    ++mExecutions;
    mPossiblyExecuted = true;
    CountBegun();
  }
  const bool mayRetry = aError.progress == Progress::NotSent ||
                        (aError.progress == Progress::NotExecuted && TryTakeRetry()) ||
                        (aError.progress == Progress::Unknown && MayExecuteAgain());
  if (mayRetry && !IsCallerGone()) {
    co_return Step::Continue;
  }
  const char* const reason =
    aError.kind == net::NetErrorKind::TimedOut ? "backend_timeout" : "backend_failed";
  co_await GiveUp(reason, "the backend server failed: " + aError.detail);
  co_return Step::Done;
}

bool PlainSession::MayHedge() const
{
  return mState->hedges.IsOn() && mRequest.route->kind == dispatch::CallKind::Idempotent &&
         mExecutions == 0 && mRequest.route->attempts > 1;
}

void PlainSession::StopWaiting()
{
  for (const std::shared_ptr<Try>& running : mTries) {
    running->exchange.Close();
  }
  Session::StopWaiting();
}

net::Task<void> PlainSession::RunTry(std::shared_ptr<Try> aTry, std::shared_ptr<net::Signal> aEnded)
{
  mState->dispatcher.OnSent(aTry->backend.id, mRequest.number, Duration::zero(), 0, net::Now());
  net::HttpRequest request =
    mState->dialect->BuildBackendRequest(mRequest.call, OptionsFor(aTry->backend));
  aTry->head = co_await aTry->exchange.Start(std::move(request), mRequest.deadline, MaximumIdle());
  if (aTry->head && (!aTry->head->isSigned || aTry->head->isEncoded)) {
    // The body is not read, since it may have no end.
    aTry->exchange.Close();
    aTry->head = Failure(UnusableResponseError(*aTry->head));
  }
  if (aTry->head) {
    aTry->body = co_await aTry->exchange.ReadAll();
  }
  aTry->hasEnded = true;
  aEnded->Set();
}

std::shared_ptr<PlainSession::Try> PlainSession::StartSecondTry(const Try& aFirst,
                                                                std::shared_ptr<net::Signal> aEnded)
{
  const auto count = [this](const char* aResult) {
    mState->metrics.GetCounter({ "masticstep_second_tries_total", "result", aResult })->Add();
  };
  const hedging::Withheld withheld = mState->hedges.OnSlow(mRequest.route->name);
  if (withheld != hedging::Withheld::None) {
    count(withheld == hedging::Withheld::Budget ? "withheld_share" : "withheld_all_slow");
    return nullptr;
  }
  dispatch::BackendNames excluded = mExcluded;
  excluded.push_back(aFirst.backend.id);
  const std::optional<dispatch::Backend> other =
    mState->dispatcher.ChooseServer(mRequest.service, excluded, net::Now());
  if (!other || IsQuarantined() || IsKeyWithdrawn() || IsRefusedByShutdown() || !TryTakeRetry()) {
    count("withheld_no_server");
    return nullptr;
  }
  count("sent");
  telemetry::Log(telemetry::Level::Info, "second try",
                 { { "request_id", mRequest.call.id },
                   { "slow", aFirst.backend.id.Text() },
                   { "backend", other->id.Text() } });
  std::shared_ptr<Try> second =
    std::make_shared<Try>(*mState, *other, mRequest.call.id, mUsedConnections);
  mTries.push_back(second);
  boost::asio::co_spawn(mState->executor, RunTry(second, std::move(aEnded)), boost::asio::detached);
  return second;
}

net::Task<PlainSession::Step> PlainSession::HedgedAttempt(dispatch::Backend aBackend)
{
  const std::string kind = mRequest.route->name;
  const Time sent = net::Now();
  const std::optional<Duration> delay = mState->hedges.OnSent(kind);
  const std::shared_ptr<Try> first =
    std::make_shared<Try>(*mState, aBackend, mRequest.call.id, mUsedConnections);
  mTries.push_back(first);
  std::shared_ptr<net::Signal> ended = std::make_shared<net::Signal>(mState->executor);
  boost::asio::co_spawn(mState->executor, RunTry(first, ended), boost::asio::detached);
  bool isSlow = false;
  std::shared_ptr<Try> second;
  if (delay) {
    co_await ended->WaitFor(*delay);
    isSlow = !first->hasEnded;
  }
  if (isSlow) {
    second = StartSecondTry(*first, ended);
  }
  // Until there is a good answer, or all tries have ended.
  while (!first->IsGood() && !(second && second->IsGood()) &&
         !(first->hasEnded && (!second || second->hasEnded))) {
    co_await ended->Wait();
    ended->Reset();
  }
  const bool isSecondBetter = second && second->IsGood() && !first->IsGood();
  Try& used = isSecondBetter ? *second : *first;
  Try* const other = second ? (isSecondBetter ? first.get() : second.get()) : nullptr;
  const bool isOtherCancelled = other != nullptr && !other->hasEnded;
  if (isOtherCancelled) {
    other->exchange.Close();
    while (!other->hasEnded) {
      co_await ended->Wait();
      ended->Reset();
    }
  }
  mTries.clear();
  mState->hedges.OnEnd(kind, isSlow,
                       used.IsGood() ? std::optional<Duration>(net::Now() - sent) : std::nullopt);
  if (other != nullptr) {
    mState->metrics
      .GetCounter({ "masticstep_second_tries_total", "result", isSecondBetter ? "won" : "lost" })
      ->Add();
    const dispatch::Outcome outcome = isOtherCancelled
                                        ? Outcome::Abandoned
                                        : (other->IsGood() ? Outcome::Answered : Outcome::Failed);
    mState->dispatcher.OnDone(other->backend.id, mRequest.number, outcome, net::Now());
    ++mExecutions;
    mPossiblyExecuted = true;
    mExcluded.push_back(other->backend.id);
  }
  co_return co_await Finish(used);
}

net::Task<PlainSession::Step> PlainSession::Finish(Try& aTry)
{
  if (!aTry.head) {
    co_return co_await HandleFailure(aTry.backend, aTry.head.error());
  }
  if (!aTry.body) {
    ExchangeError error{ Progress::Unknown, aTry.body.error().kind,
                         net::ToString(aTry.body.error()) };
    co_return co_await HandleFailure(aTry.backend, std::move(error));
  }
  BackendResponseHead head = *aTry.head;
  co_return co_await RelayAnswer(aTry.backend, aTry.exchange, std::move(head),
                                 std::move(*aTry.body));
}

bool PlainSession::MayExecuteAgain()
{
  return mRequest.route->IsRetryable() && mExecutions < mRequest.route->attempts &&
         !IsPastDeadline() && TryTakeRetry();
}

} // namespace masticstep::relay
