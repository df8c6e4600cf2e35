#include "PlainSession.hpp"

#include "masticstep/net/Clock.hpp"

#include <utility>

namespace masticstep::relay {

using dispatch::Outcome;

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
  Result<std::string, net::NetError> body = co_await aExchange.ReadAll(mRequest.deadline);
  if (!body) {
    ExchangeError error{ Progress::Unknown, body.error().kind, net::ToString(body.error()) };
    co_return co_await HandleFailure(aBackend, std::move(error));
  }
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
                              std::move(*body) };
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

bool PlainSession::MayExecuteAgain()
{
  return mRequest.route->IsRetryable() && mExecutions < mRequest.route->attempts &&
         !IsPastDeadline() && TryTakeRetry();
}

} // namespace masticstep::relay
