#include "PlainSession.hpp"

#include "masticstep/net/Clock.hpp"

#include <utility>

namespace masticstep::relay {

using dispatch::Outcome;

namespace {

// A connection that was idle for longer may have been closed unseen, and what is sent on it is
// lost.

} // namespace

net::Task<void> PlainSession::Run()
{
  Step step = Step::Again;
  while (step == Step::Again) {
    step = co_await Attempt();
  }
}

net::Task<PlainSession::Step> PlainSession::Attempt()
{
  if (IsGone() || IsLate()) {
    co_await GiveUp("deadline", "the deadline has passed");
    co_return Step::Done;
  }
  const std::optional<dispatch::Backend> backend =
    mParts->dispatcher.PlaceCall(mIncoming.service, mExcluded, net::Now());
  if (!backend) {
    co_await GiveUp("no_backend", "no backend server of the service is available");
    co_return Step::Done;
  }
  mParts->dispatcher.OnSent(backend->id, mIncoming.number, Duration::zero(), 0, net::Now());
  Exchange exchange(*mParts, *backend, mIncoming.call.id);
  mExchange = &exchange;
  net::HttpRequest request =
    mParts->dialect->BuildBackendRequest(mIncoming.call, OptionsFor(*backend));
  const Result<BackendResponseHead, ExchangeError> head =
    co_await exchange.Start(std::move(request), mIncoming.deadline, LongestIdle());
  Step step = Step::Done;
  if (head) {
    step = co_await Answer(*backend, exchange, *head);
  } else {
    step = co_await AfterFailure(*backend, head.error());
  }
  mExchange = nullptr;
  co_return step;
}

net::Task<PlainSession::Step> PlainSession::Answer(const dispatch::Backend& aBackend,
                                                   Exchange& aExchange, BackendResponseHead aHead)
{
  Result<std::string, net::NetError> body = co_await aExchange.ReadAll(mIncoming.deadline);
  if (!body) {
    ExchangeError error{ Progress::Unknown, body.error().kind, net::ToString(body.error()) };
    co_return co_await AfterFailure(aBackend, std::move(error));
  }
  if (!aHead.isSigned || aHead.isEncoded) {
    ExchangeError error{ Progress::Unknown, net::NetErrorKind::Malformed,
                         "unsigned answer with status " + std::to_string(aHead.status) };
    co_return co_await AfterFailure(aBackend, std::move(error));
  }
  const bool isError = IsServerError(aHead.status);
  mParts->dispatcher.OnDone(aBackend.id, mIncoming.number,
                            isError ? Outcome::Failed : Outcome::Answered, net::Now());
  ++mRuns;
  mMayHaveRun = true;
  if (isError && mIncoming.route->MayRepeat() && mRuns < mIncoming.route->attempts && !IsGone() &&
      TakeRepeat()) {
    mExcluded.push_back(aBackend.id);
    co_return Step::Again;
  }
  LogEnd(IsSuccess(aHead.status) ? "answered" : "backend_error", aHead.status);
  net::HttpResponse response{ aHead.status,
                              mParts->dialect->SelectCallerHeaders(aExchange.Headers()),
                              std::move(*body) };
  co_await mResponder.Send(std::move(response));
  co_return Step::Done;
}

net::Task<PlainSession::Step> PlainSession::AfterFailure(const dispatch::Backend& aBackend,
                                                         ExchangeError aError)
{
  mParts->dispatcher.OnDone(aBackend.id, mIncoming.number, OutcomeOf(aError), net::Now());
  LogFailure(aBackend, aError);
  mExcluded.push_back(aBackend.id);
  if (aError.progress == Progress::Unknown) {
    ++mRuns;
    mMayHaveRun = true;
  }
  const bool mayGoOn = aError.progress == Progress::NotSent ||
                       (aError.progress == Progress::NotRun && TakeRepeat()) ||
                       (aError.progress == Progress::Unknown && MayRunAgain());
  if (mayGoOn && !IsGone()) {
    co_return Step::Again;
  }
  const char* const reason =
    aError.kind == net::NetErrorKind::TimedOut ? "backend_timeout" : "backend_failed";
  co_await GiveUp(reason, "the backend server failed: " + aError.detail);
  co_return Step::Done;
}

bool PlainSession::MayRunAgain()
{
  return mIncoming.route->MayRepeat() && mRuns < mIncoming.route->attempts && !IsLate() &&
         TakeRepeat();
}

} // namespace masticstep::relay
