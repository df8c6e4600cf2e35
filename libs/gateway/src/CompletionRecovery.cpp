// CompletionSession: handling of failed and interrupted attempts.
#include "CompletionSession.hpp"

#include "masticstep/net/Clock.hpp"
#include "masticstep/net/HttpClient.hpp"
#include "masticstep/net/Sleep.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <utility>

namespace masticstep::gateway {

namespace {

constexpr Duration kRetryAfterFailure = Seconds(1);
// Cancelling must not delay a request that can be retried on another engine.
constexpr net::FetchLimits kCancelLimits{ Milliseconds(300), Milliseconds(500), 4096 };

} // namespace

retry::Attempt CompletionSession::AttemptWith(retry::Progress aProgress) const
{
  const std::uint32_t tokens = mMetrics->Tokens();
  retry::Attempt attempt;
  attempt.id = mName.number;
  attempt.service = mService->name;
  attempt.progress = tokens > 0 ? retry::Progress::Started : aProgress;
  attempt.isRepeatable = true;
  attempt.mayHaveRunBefore = mMayHaveRun;
  attempt.tokensRelayed = tokens;
  attempt.retries = mRetries;
  attempt.resumes = mResumes;
  // For a stream, the deadline applies to the first token only.
  const bool isOpenEnded = mRequest.isStreaming && tokens > 0;
  attempt.deadline = isOpenEnded ? Time::max() : mDeadline;
  return attempt;
}

retry::RetryDecision CompletionSession::Decide(retry::Progress aProgress, bool aIsResumable)
{
  retry::Attempt attempt = AttemptWith(aProgress);
  attempt.isResumable = aIsResumable;
  return mParts->retry.Decide(attempt, net::Now());
}

void CompletionSession::OnEngineSilent()
{
  if (mInterruption != Interruption::None || mStream->IsResumingAside()) {
    return;
  }
  if (mStream->MayHaveArrived() && !mStream->IsResumeRejected() && MayResume()) {
    ++mResumes;
    mParts->metrics->GetCounter({ "masticstep_stream_resumes_total", "", "" })->Add();
    mStream->ResumeAside(mMetrics->Tokens());
    return;
  }
  // Only a stream with tokens is still open after the deadline.
  if (net::Now() >= mDeadline || MoveFromSilentEngine()) {
    mStream->Abandon();
  }
}

bool CompletionSession::MayResume()
{
  retry::Attempt attempt = AttemptWith(retry::Progress::Unknown);
  attempt.isResumable = true;
  attempt.isRepeatable = false;
  return mParts->retry.Decide(attempt, net::Now()).kind == retry::RetryKind::Resume;
}

bool CompletionSession::MoveFromSilentEngine()
{
  if (mMetrics->Tokens() > 0 || !HasOtherEngine()) {
    return false;
  }
  const retry::RetryDecision decision = Decide(retry::Progress::Unknown, false);
  if (decision.kind != retry::RetryKind::Retry) {
    return false;
  }
  mMove = decision;
  return true;
}

bool CompletionSession::HasOtherEngine() const
{
  const std::vector<EngineStatus> statuses = mParts->engines->Status(net::Now());
  return std::any_of(statuses.begin(), statuses.end(), [this](const EngineStatus& aStatus) {
    const bool isExcluded =
      std::find(mExcluded.begin(), mExcluded.end(), aStatus.engine) != mExcluded.end();
    return aStatus.engine != mEngine && aStatus.state == "ready" && !isExcluded &&
           FindEngine(aStatus.engine) != nullptr;
  });
}

net::Task<CompletionSession::AttemptResult> CompletionSession::HandleFailure(
  const BackendServer& aEngine, EngineStream& aStream, StreamFailure aFailure)
{
  mParts->engines->OnFailed(mName.number, ToEngineFailure(aFailure), net::Now());
  const retry::Progress progress = co_await DetermineProgress(aEngine, aStream, aFailure);
  if (mInterruption == Interruption::CallerGone) {
    LogEnd("caller left");
    co_return AttemptResult::Interrupted;
  }
  if (IsCallerError(aFailure) && mMetrics->Tokens() == 0) {
    mRefusal = ToCallerRefusal(aFailure);
    co_return AttemptResult::Refused;
  }
  const bool hasNotStarted =
    progress == retry::Progress::NotSent || progress == retry::Progress::NotStarted;
  const retry::RetryDecision decision = mMove ? *mMove : Decide(progress, false);
  mMayHaveRun = mMove ? mMayHaveRun || !hasNotStarted : decision.mayHaveRun;
  if (decision.kind == retry::RetryKind::Retry) {
    ++mRetries;
    mExcluded.push_back(aEngine.name);
    mParts->metrics->GetCounter({ "masticstep_retries_total", "", "" })->Add();
    co_await net::Sleep(decision.delay);
    co_return AttemptResult::TryAnotherEngine;
  }
  const bool isLate = decision.reason == retry::GiveUpReason::Deadline;
  mRefusal = { isLate ? 504U : 503U, isLate ? "deadline" : "engine_failed",
               "the engine failed: " + Describe(aFailure), decision.run, kRetryAfterFailure };
  co_return AttemptResult::Refused;
}

net::Task<retry::Progress> CompletionSession::DetermineProgress(const BackendServer& aEngine,
                                                                EngineStream& aStream,
                                                                const StreamFailure& aFailure)
{
  if (!aStream.MayHaveArrived()) {
    co_return retry::Progress::NotSent;
  }
  if (IsNotAccepted(aFailure) && mResumes == 0) {
    co_return retry::Progress::NotStarted;
  }
  // The engine may still be processing the request: cancel it there. The reply may state that the
  // request had not started.
  const std::optional<bool> hasStarted = co_await CancelOnEngine(aEngine);
  co_return hasStarted == false ? retry::Progress::NotStarted : retry::Progress::Unknown;
}

net::Task<CompletionSession::AttemptResult> CompletionSession::HandleInterruption(
  const BackendServer& aEngine, EngineStream& aStream)
{
  aStream.Disconnect();
  const bool isLate = mInterruption == Interruption::DeadlinePassed;
  mParts->engines->OnFailed(
    mName.number, isLate ? EngineFailure::DeadlineExceeded : EngineFailure::Cancelled, net::Now());
  std::optional<bool> hasStarted = false;
  if (aStream.MayHaveArrived()) {
    hasStarted = co_await CancelOnEngine(aEngine);
  }
  mMayHaveRun = mMayHaveRun || mMetrics->Tokens() > 0 || hasStarted != false;
  co_return FinishInterrupted();
}

CompletionSession::AttemptResult CompletionSession::FinishInterrupted()
{
  if (mInterruption == Interruption::CallerGone) {
    LogEnd("caller left");
    return AttemptResult::Interrupted;
  }
  const bool isLate = mInterruption == Interruption::DeadlinePassed;
  const RunState run = mMayHaveRun ? RunState::Unknown : RunState::NotRun;
  mRefusal =
    isLate ? Refusal{ 504, "deadline", "the deadline of the class has passed", run, std::nullopt }
           : Refusal{ 503, "shutdown", "this host stops and can wait no longer", run,
                      kRetryAfterFailure };
  return AttemptResult::Refused;
}

net::Task<std::optional<bool>> CompletionSession::CancelOnEngine(const BackendServer& aEngine)
{
  const net::HttpRequest request{
    "DELETE", aEngine.url.path + "/streams/" + mName.text, {}, {}, {}
  };
  const Result<net::HttpResponse, net::FetchError> reply = co_await net::FetchOverNewConnection(
    *mParts->pool, AddressOf(aEngine.url), request, kCancelLimits);
  if (!reply || reply->status != 200) {
    co_return std::nullopt;
  }
  boost::system::error_code ec;
  const boost::json::value body = boost::json::parse(reply->body, ec);
  const boost::json::object* object = body.if_object();
  const boost::json::value* started = object == nullptr ? nullptr : object->if_contains("started");
  if (started == nullptr || !started->is_bool()) {
    co_return std::nullopt;
  }
  co_return started->get_bool();
}

Refusal CompletionSession::ToCallerRefusal(const StreamFailure& aFailure) const
{
  const unsigned status = aFailure.status == 413 ? 413 : 400;
  const RunState run = mMayHaveRun ? RunState::Unknown : RunState::NotRun;
  return { status, "bad_input", "the engine refused the request: " + aFailure.detail, run,
           std::nullopt };
}

} // namespace masticstep::gateway
