#include "Session.hpp"

#include "CrashDetector.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace masticstep::relay {

using telemetry::Level;

namespace {

constexpr Duration kMinimumRetryAfter = Milliseconds(100);
// Callers honour a Retry-After of at most a third of their remaining time.
constexpr std::int64_t kRetryAfterDivisor = 4;
constexpr Duration kMaximumRetryAfter = Milliseconds(1000);

std::string ToHex(const std::vector<std::uint64_t>& aIds)
{
  std::string text;
  for (const std::uint64_t id : aIds) {
    char hex[18];
    std::snprintf(hex, sizeof(hex), "%s%llx", text.empty() ? "" : ",",
                  static_cast<unsigned long long>(id));
    text += hex;
  }
  return text;
}

// Suspects that stand for the request as a whole, before those of its prompt.
constexpr std::size_t kWholeRequestSuspects = 2;

std::vector<quarantine::SuspectPart> SuspectsOf(const RequestDigest& aDigest,
                                                const std::vector<std::uint64_t>& aSharedParts)
{
  std::vector<quarantine::SuspectPart> suspects{ { aDigest.ofCaller, quarantine::kRequestOfCaller },
                                                 { aDigest.content, quarantine::kRequest } };
  for (std::size_t i = 0; i < aSharedParts.size(); ++i) {
    suspects.push_back({ aSharedParts[i], static_cast<std::uint32_t>(i) });
  }
  return suspects;
}

} // namespace

bool IsSuccess(unsigned aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

bool IsServerError(unsigned aStatus)
{
  return aStatus >= 500;
}

Session::Session(std::shared_ptr<RelayState> aState, RoutedRequest aRoutedRequest,
                 net::HttpResponder& aResponder)
  : mState(std::move(aState))
  , mRequest(std::move(aRoutedRequest))
  , mResponder(aResponder)
  , mSharedParts(dispatch::SharedParts(mRequest.call.prompt.value_or(dispatch::Prompt{})))
  , mSuspects(SuspectsOf(mRequest.digest, mSharedParts))
{
  mState->sessions.insert(this);
  mState->retryBudget.OnRequest(mRequest.service, mRequest.arrived);
  mResponder.OnGone([this] { StopWaiting(); });
}

Session::~Session()
{
  mResponder.OnGone(nullptr);
  mState->sessions.erase(this);
}

bool Session::IsPastDeadline() const
{
  return net::Now() >= mRequest.deadline;
}

void Session::StopWaiting()
{
  if (mActiveExchange != nullptr) {
    mActiveExchange->Close();
  }
}

void Session::EndForShutdown()
{
  mIsEnding = true;
  StopWaiting();
}

bool Session::IsRefusedByShutdown() const
{
  if (mIsEnding || !mState->drain) {
    return mIsEnding;
  }
  const bool mayGoOn = mPossiblyExecuted || mResponder.HasStarted();
  return !mayGoOn && !mState->drain->MayBegin(net::Now(), mRequest.deadline);
}

Duration Session::RetryAfter() const
{
  if (mRetryAfter) {
    return *mRetryAfter;
  }
  const Duration fraction = mRequest.TimeLeft(net::Now()) / kRetryAfterDivisor;
  return std::clamp(fraction, kMinimumRetryAfter, kMaximumRetryAfter);
}

Duration Session::MaximumIdle() const
{
  return mRequest.route->IsRetryable() ? kMaximumIdleRepeatable : kMaximumIdleNonRepeatable;
}

net::Task<void> Session::Refuse(Refusal aRefusal)
{
  mState->metrics.GetCounter({ "masticstep_refusals_total", "reason", aRefusal.reason })->Add();
  // A response that has started keeps the status that was sent to the caller.
  LogCompletion(IsCallerGone() ? "caller_gone" : aRefusal.reason,
                mResponder.HasStarted() ? 200 : aRefusal.status);
  if (IsCallerGone() || mResponder.HasStarted()) {
    co_return;
  }
  net::HttpResponse response = ToResponse(aRefusal);
  co_await mResponder.Send(std::move(response));
}

net::Task<void> Session::GiveUp(std::string aReason, std::string aMessage)
{
  if (mIsEnding) {
    co_await RefuseForShutdown();
    co_return;
  }
  Refusal refusal = mPossiblyExecuted
                      ? PossiblyExecutedRefusal(std::move(aReason), std::move(aMessage))
                      : NotExecutedRefusal(std::move(aReason), std::move(aMessage), RetryAfter());
  if (mPossiblyExecuted && IsPastDeadline()) {
    refusal.status = 504;
  }
  co_await Refuse(std::move(refusal));
}

net::Task<void> Session::RefuseForShutdown()
{
  const bool hasEvents = mResponder.HasStarted();
  const char* const endedResult = hasEvents ? "stream_cut" : "ended";
  mState->metrics
    .GetCounter({ "masticstep_shutdown_requests_total", "result",
                  mPossiblyExecuted ? endedResult : "refused" })
    ->Add();
  Refusal refusal = mPossiblyExecuted
                      ? PossiblyExecutedRefusal(kStoppingReason, kStoppingMessage)
                      : NotExecutedRefusal(kStoppingReason, kStoppingMessage, kStoppingRetryAfter);
  co_await Refuse(std::move(refusal));
}

bool Session::TryTakeRetry(std::uint32_t aMessages)
{
  if (IsCallerGone() || IsPastDeadline() || mIsEnding) {
    return false;
  }
  return mState->retryBudget.TryAcquire(mRequest.service, net::Now(), aMessages);
}

void Session::LogCut() const
{
  mState->metrics.GetCounter({ "masticstep_shutdown_requests_total", "result", "cut" })->Add();
  telemetry::Log(Level::Warning, "request cut",
                 { { "request_id", mRequest.call.id },
                   { "route", mRequest.route->name },
                   { "service", mRequest.service.Text() },
                   { "answer_begun", mResponder.HasStarted() },
                   { "possibly_run", mPossiblyExecuted || mActiveExchange != nullptr },
                   { "milliseconds", ToSeconds(net::Now() - mRequest.arrived) * 1000.0 } });
}

dispatch::Outcome Session::OutcomeOf(const ExchangeError& aError) const
{
  const bool isStopped = IsCallerGone() || IsPastDeadline() || mIsEnding;
  if (aError.kind == net::NetErrorKind::Cancelled || isStopped) {
    return dispatch::Outcome::Abandoned;
  }
  switch (aError.progress) {
    case Progress::NotSent:
      return dispatch::Outcome::Unreachable;
    case Progress::NotExecuted:
      return dispatch::Outcome::Refused;
    case Progress::Unknown:
      return dispatch::Outcome::Failed;
  }
  return dispatch::Outcome::Failed;
}

bool Session::IsQuarantined()
{
  const Time now = net::Now();
  std::vector<std::uint64_t> ids;
  for (const quarantine::SuspectPart& suspect : mSuspects) {
    ids.push_back(suspect.id);
  }
  const std::optional<Time> until = mState->quarantine.QuarantinedUntil(ids, now);
  if (until) {
    mRetryAfter = *until - now;
  }
  return until.has_value();
}

bool Session::IsKeyWithdrawn() const
{
  const accounts::AccountDirectory* const directory = mState->table->Accounts();
  if (mState->table == mRequest.table || directory == nullptr || !mRequest.account ||
      mRequest.route->isPublic) {
    return false;
  }
  const accounts::ClientAccount* const account = directory->Find(mRequest.call.credentials.key);
  return account == nullptr || account->name != *mRequest.account;
}

void Session::CountBegun()
{
  if (!std::exchange(mIsCounted, true)) {
    mState->duties.OnRequestBegan(mRequest.account, net::Now());
  }
}

net::Task<void> Session::RefuseWithdrawnKey()
{
  Refusal refusal = mPossiblyExecuted
                      ? PossiblyExecutedRefusal("withdrawn_key", "the key has been withdrawn")
                      : UnauthenticatedRefusal();
  co_await Refuse(std::move(refusal));
}

std::size_t Session::CountOf(Suspects aSuspects) const
{
  return aSuspects == Suspects::All ? mSuspects.size() : kWholeRequestSuspects;
}

void Session::ReportAnswer(Suspects aSuspects)
{
  std::vector<std::uint64_t> ids;
  for (std::size_t i = 0; i < CountOf(aSuspects); ++i) {
    ids.push_back(mSuspects[i].id);
  }
  mState->quarantine.OnAnswered(ids, net::Now());
}

void Session::ReportBrokenAnswer(const dispatch::Backend& aBackend, const ExchangeError& aError,
                                 Suspects aSuspects)
{
  const bool isConnectionLost =
    !mIsEnding && aError.progress == Progress::Unknown &&
    (aError.kind == net::NetErrorKind::Closed || aError.kind == net::NetErrorKind::Reset);
  if (isConnectionLost) {
    const auto end = mSuspects.begin() + static_cast<std::ptrdiff_t>(CountOf(aSuspects));
    mState->crashDetector->OnBrokenAnswer(aBackend, { mSuspects.begin(), end });
  }
}

SendOptions Session::OptionsFor(const dispatch::Backend& aBackend) const
{
  SendOptions options;
  options.backend = aBackend.id;
  options.timeLeft = mRequest.TimeLeft(net::Now());
  options.lastEventId = mRequest.call.lastEventId;
  options.hidesCredentials = mRequest.table->Accounts() != nullptr;
  options.account = mRequest.account;
  return options;
}

void Session::LogFailure(const dispatch::Backend& aBackend, const ExchangeError& aError) const
{
  telemetry::Log(Level::Warning, "attempt failed",
                 { { "request_id", mRequest.call.id },
                   { "backend", aBackend.id.Text() },
                   { "problem", aError.detail },
                   { "request_digest", ToHex({ mRequest.digest.content }) },
                   { "prompt_parts", ToHex(mSharedParts) },
                   { "answer_begun", mResponder.HasStarted() },
                   { "not_run", aError.progress != Progress::Unknown } });
}

void Session::LogCompletion(std::string_view aOutcome, unsigned aStatus,
                            std::optional<Time> aFirstEvent) const
{
  const Duration elapsed = net::Now() - mRequest.arrived;
  const Duration firstEvent = aFirstEvent.value_or(net::Now()) - mRequest.arrived;
  const std::string outcome(aOutcome);
  const std::string& route = mRequest.route->name;
  mState->metrics.GetCounter({ "masticstep_relay_requests_total", "outcome", outcome })->Add();
  mState->metrics.GetLatency({ "masticstep_relay_request_seconds", "route", route })
    ->Record(elapsed);
  mState->metrics.GetLatency({ "masticstep_relay_first_event_seconds", "route", route })
    ->Record(firstEvent);
  telemetry::Log(Level::Info, "request finished",
                 { { "request_id", mRequest.call.id },
                   { "outcome", outcome },
                   { "status", aStatus },
                   { "route", route },
                   { "service", mRequest.service.Text() },
                   { "account", mRequest.account.value_or(AccountName{}).Text() },
                   { "configuration", mRequest.table->Version() },
                   { "first_event_ms", ToSeconds(firstEvent) * 1000.0 },
                   { "milliseconds", ToSeconds(elapsed) * 1000.0 } });
}

} // namespace masticstep::relay
