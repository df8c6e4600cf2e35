#include "Session.hpp"

#include "masticstep/net/Clock.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::relay {

using telemetry::Level;

namespace {

constexpr Duration kShortestRetryAfter = Milliseconds(100);
// Callers honour at most a third of their time as a pause.
constexpr std::int64_t kRetryAfterPart = 4;
constexpr Duration kLongestRetryAfter = Milliseconds(1000);

} // namespace

bool IsSuccess(unsigned aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

bool IsServerError(unsigned aStatus)
{
  return aStatus >= 500;
}

Session::Session(std::shared_ptr<RelayState> aParts, Incoming aIncoming,
                 net::HttpResponder& aResponder)
  : mParts(std::move(aParts))
  , mIncoming(std::move(aIncoming))
  , mResponder(aResponder)
{
  ++mParts->running;
  mParts->retries.OnRequest(mIncoming.service, mIncoming.arrived);
  mResponder.OnGone([this] { OnGone(); });
}

Session::~Session()
{
  mResponder.OnGone(nullptr);
  --mParts->running;
}

bool Session::IsLate() const
{
  return net::Now() >= mIncoming.deadline;
}

void Session::OnGone()
{
  if (mExchange != nullptr) {
    mExchange->Close();
  }
}

Duration Session::RetryAfter() const
{
  if (mRetryAfter) {
    return *mRetryAfter;
  }
  const Duration part = mIncoming.TimeLeft(net::Now()) / kRetryAfterPart;
  return std::clamp(part, kShortestRetryAfter, kLongestRetryAfter);
}

Duration Session::LongestIdle() const
{
  return mIncoming.route->MayRepeat() ? kIdleOfRepeatable : kIdleOfOnce;
}

net::Task<void> Session::Refuse(Refusal aRefusal)
{
  mParts->metrics.GetCounter({ "masticstep_refusals_total", "reason", aRefusal.reason })->Add();
  // An answer that has begun keeps the status that its caller has seen.
  LogEnd(IsGone() ? "caller_gone" : aRefusal.reason,
         mResponder.HasStarted() ? 200 : aRefusal.status);
  if (IsGone() || mResponder.HasStarted()) {
    co_return;
  }
  net::HttpResponse response = ToResponse(aRefusal);
  co_await mResponder.Send(std::move(response));
}

net::Task<void> Session::GiveUp(std::string aReason, std::string aMessage)
{
  Refusal refusal = mMayHaveRun ? MayHaveRun(std::move(aReason), std::move(aMessage))
                                : NotRun(std::move(aReason), std::move(aMessage), RetryAfter());
  if (mMayHaveRun && IsLate()) {
    refusal.status = 504;
  }
  co_await Refuse(std::move(refusal));
}

bool Session::TakeRepeat()
{
  return mParts->retries.TryTake(mIncoming.service, net::Now());
}

dispatch::Outcome Session::OutcomeOf(const ExchangeError& aError) const
{
  if (aError.kind == net::NetErrorKind::Cancelled || IsGone() || IsLate()) {
    return dispatch::Outcome::Abandoned;
  }
  switch (aError.progress) {
    case Progress::NotSent:
      return dispatch::Outcome::Unreachable;
    case Progress::NotRun:
      return dispatch::Outcome::Refused;
    case Progress::Unknown:
      return dispatch::Outcome::Failed;
  }
  return dispatch::Outcome::Failed;
}

SendOptions Session::OptionsFor(const dispatch::Backend& aBackend) const
{
  SendOptions options;
  options.backend = aBackend.id;
  options.timeLeft = mIncoming.TimeLeft(net::Now());
  options.lastEventId = mIncoming.call.lastEventId;
  return options;
}

void Session::LogFailure(const dispatch::Backend& aBackend, const ExchangeError& aError) const
{
  telemetry::Log(Level::Warning, "attempt failed",
                 { { "request_id", mIncoming.call.id },
                   { "backend", aBackend.id.Text() },
                   { "problem", aError.detail },
                   { "not_run", aError.progress != Progress::Unknown } });
}

void Session::LogEnd(std::string_view aOutcome, unsigned aStatus,
                     std::optional<Time> aFirstEvent) const
{
  const Duration spent = net::Now() - mIncoming.arrived;
  const Duration first = aFirstEvent.value_or(net::Now()) - mIncoming.arrived;
  const std::string outcome(aOutcome);
  const std::string& route = mIncoming.route->name;
  mParts->metrics.GetCounter({ "masticstep_relay_requests_total", "outcome", outcome })->Add();
  mParts->metrics.GetLatency({ "masticstep_relay_request_seconds", "route", route })->Record(spent);
  mParts->metrics.GetLatency({ "masticstep_relay_first_event_seconds", "route", route })
    ->Record(first);
  telemetry::Log(Level::Info, "request finished",
                 { { "request_id", mIncoming.call.id },
                   { "outcome", outcome },
                   { "status", aStatus },
                   { "route", route },
                   { "service", mIncoming.service.Text() },
                   { "configuration", mIncoming.table->Version() },
                   { "first_event_ms", ToSeconds(first) * 1000.0 },
                   { "milliseconds", ToSeconds(spent) * 1000.0 } });
}

} // namespace masticstep::relay
