#include "CompletionSession.hpp"

#include "Authentication.hpp"
#include "masticstep/net/Alarm.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <utility>

namespace masticstep::gateway {

using telemetry::Level;

namespace {

constexpr Duration kRetryAfterOverload = Seconds(1);
// Fraction of the first-token target that a request may wait for admission; after a longer wait the
// first token would be late. The goodput in docs/ROUTING.md is that of the mix benchmarks with this
// fraction.
constexpr double kMaximumWaitFraction = 0.75;
// About the duration of one engine step; no capacity is freed sooner.
constexpr Duration kRerouteInterval = Milliseconds(20);

} // namespace

CompletionSession::CompletionSession(std::shared_ptr<GatewayParts> aParts, RequestName aName,
                                     net::HttpResponder& aResponder)
  : mParts(std::move(aParts))
  , mName(std::move(aName))
  , mResponder(aResponder)
  , mArrived(net::Now())
  , mWaitingSince(mArrived)
{
}

Result<void, Refusal> CompletionSession::Prepare(const net::HttpRequest& aRequest, bool aIsChat)
{
  mConfiguration = mParts->configuration.Current();
  if (!mConfiguration) {
    return Failure(Refusal{ 503, "not_ready", "no configuration is in force yet", RunState::NotRun,
                            kRetryAfterOverload });
  }
  const Result<const ClientAccount*, Refusal> account =
    Authenticate(*mConfiguration, aRequest.headers);
  if (!account) {
    return Failure(account.error());
  }
  mAccount = *account;
  Result<CompletionRequest, Refusal> request = CompletionRequest::Parse(aRequest.body, aIsChat);
  if (!request) {
    return Failure(request.error());
  }
  mRequest = std::move(*request);
  mService = mConfiguration->FindModel(mRequest.model);
  if (mService == nullptr || !MayUse(*mAccount, mService->name)) {
    return Failure(NotFound("model '" + mRequest.model.Text() + "' is unknown to this account"));
  }
  const ClassName name{ std::string(net::FindHeader(aRequest.headers, "X-Class")) };
  mClass = FindClass(*mService, name);
  if (mClass == nullptr) {
    return Failure(BadInput("X-Class: service '" + mService->name.Text() + "' has no class '" +
                            name.Text() + "'"));
  }
  mDeadline = mArrived + mClass->deadline;
  return {};
}

net::Task<void> CompletionSession::Run(net::HttpRequest aRequest, bool aIsChat)
{
  const Result<void, Refusal> prepared = Prepare(aRequest, aIsChat);
  if (!prepared) {
    co_await Refuse(prepared.error());
    co_return;
  }
  aRequest = net::HttpRequest();
  mResponse = CompletionResponse::Create(mRequest, mName.text, mResponder);
  mMetrics.emplace(*mParts->metrics, mClass->name, mAccount->name, mArrived);
  const net::Executor executor = co_await boost::asio::this_coro::executor;
  const std::unique_ptr<RunningRequests::Entry> entry =
    mParts->running.Add(mName.number, executor, [this] { Interrupt(Interruption::Shutdown); });
  const net::Alarm alarm(executor, mDeadline, [this] { Interrupt(Interruption::DeadlinePassed); });
  mResponder.OnGone([this] { Interrupt(Interruption::CallerGone); });
  Result<void, Refusal> admitted = co_await Admit();
  if (admitted) {
    co_await Serve();
    if (mIsAdmitted) {
      mParts->admission.OnRequestEnded(mName.number, mRequest.promptTokens + mMetrics->Tokens());
    }
  } else if (mInterruption == Interruption::CallerGone) {
    LogEnd("caller left");
  } else {
    co_await Refuse(admitted.error());
  }
  mResponder.OnGone(nullptr);
}

net::Task<Result<void, Refusal>> CompletionSession::Admit()
{
  admission::AdmissionRequest request;
  request.id = mName.number;
  request.service = mService->name;
  request.className = mClass->name;
  request.account = mAccount->name;
  const std::uint32_t output = mParts->engines->ExpectedOutput(BuildQuery());
  mParts->work.Add(mService->name, mRequest.promptTokens, output);
  request.tokens = mRequest.promptTokens + output;
  request.arrived = mArrived;
  request.deadline = std::min(
    mDeadline, mArrived + FromSeconds(kMaximumWaitFraction * ToSeconds(mClass->firstToken)));
  mIsWaiting = true;
  Result<void, Refusal> admitted = co_await mParts->admission.WaitForAdmission(std::move(request));
  mIsWaiting = false;
  mIsAdmitted = admitted.has_value();
  co_return admitted;
}

net::Task<std::optional<Refusal>> CompletionSession::WaitForCapacity()
{
  const bool isReroute = mWaitingSince != mArrived;
  if (isReroute) {
    // The request was admitted before and its engine failed; the load of other requests is no
    // reason to refuse it.
    co_await net::Sleep(kRerouteInterval);
    mWaitingSince = net::Now();
    co_return std::nullopt;
  }
  mIsWaiting = true;
  const Result<void, Refusal> admitted = co_await mParts->admission.Requeue(mName.number);
  mIsWaiting = false;
  mIsAdmitted = admitted.has_value();
  co_return admitted ? std::nullopt : std::optional<Refusal>(admitted.error());
}

void CompletionSession::Interrupt(Interruption aReason)
{
  // A stream that has started may run past the deadline, since the caller is already reading it.
  const bool isLate = aReason == Interruption::DeadlinePassed;
  if (isLate && mRequest.isStreaming && mMetrics->Tokens() > 0) {
    return;
  }
  mInterruption = aReason;
  if (mIsWaiting) {
    mParts->admission.Cancel(mName.number);
  }
  if (mStream != nullptr) {
    mStream->Disconnect();
  }
}

net::Task<void> CompletionSession::Serve()
{
  mParts->retry.OnFirstAttempt(mService->name);
  AttemptResult result = AttemptResult::TryAnotherEngine;
  while (result == AttemptResult::TryAnotherEngine) {
    if (mInterruption != Interruption::None) {
      result = FinishInterrupted();
      break;
    }
    const Result<EngineId, SelectionFailure> chosen =
      mParts->engines->Choose(BuildQuery(), net::Now());
    if (!chosen && chosen.error() == SelectionFailure::NoCapacity) {
      const std::optional<Refusal> refusal = co_await WaitForCapacity();
      if (refusal && mInterruption == Interruption::None) {
        mRefusal = *refusal;
        result = AttemptResult::Refused;
      }
      continue;
    }
    if (!chosen) {
      const RunState run = mMayHaveRun ? RunState::Unknown : RunState::NotRun;
      const bool isLate = chosen.error() == SelectionFailure::DeadlineCannotBeMet;
      mRefusal = { 503, isLate ? "overload" : "no_engine",
                   isLate ? "no engine can answer before the deadline" : "no engine is available",
                   run, kRetryAfterOverload };
      result = AttemptResult::Refused;
      break;
    }
    const BackendServer* engine = FindEngine(*chosen);
    if (engine == nullptr) {
      // The engine was added by a newer configuration than the one of this request.
      mParts->engines->OnFailed(mName.number, EngineFailure::Refused, net::Now());
      mExcluded.push_back(*chosen);
      continue;
    }
    result = co_await Attempt(*engine);
  }
  if (result == AttemptResult::Refused) {
    co_await Refuse(mRefusal);
  }
}

net::Task<CompletionSession::AttemptResult> CompletionSession::Attempt(const BackendServer& aEngine)
{
  EngineStream stream(mParts->pool, AddressOf(aEngine.url), mName.text);
  mStream = &stream;
  mEngine = aEngine.name;
  mMove.reset();
  stream.OnSilent([this] { OnEngineSilent(); });
  const AttemptResult result = co_await RelayWithResumes(aEngine, stream);
  mStream = nullptr;
  if (result == AttemptResult::Done) {
    mParts->engines->OnFinished(mName.number, net::Now());
    co_await mResponse->Finish();
    co_await stream.Finish();
    LogEnd("answered");
  }
  co_return result;
}

net::Task<CompletionSession::AttemptResult> CompletionSession::RelayWithResumes(
  const BackendServer& aEngine, EngineStream& aStream)
{
  const std::string path =
    aEngine.url.path + (mRequest.isChat ? "/v1/chat/completions" : "/v1/completions");
  mParts->engines->OnDispatched(mName.number, net::Now());
  Result<void, StreamFailure> opened =
    co_await aStream.Start(path, mRequest.EngineRequestBody(mName.text, mClass->priority));
  while (true) {
    std::optional<StreamFailure> failure;
    if (opened) {
      failure = co_await Relay(aStream);
    } else {
      failure = opened.error();
    }
    if (mInterruption != Interruption::None) {
      co_return co_await HandleInterruption(aEngine, aStream);
    }
    if (!failure) {
      co_return AttemptResult::Done;
    }
    telemetry::Log(Level::Warning, "engine attempt failed",
                   { { "request_id", mName.text },
                     { "engine", aEngine.name.Text() },
                     { "problem", failure->detail },
                     { "status", failure->status },
                     { "tokens", mMetrics->Tokens() } });
    mWaitingSince = net::Now();
    // A silent stream is resumed while its connection stays open; see OnEngineSilent.
    const bool mayResume = aStream.MayHaveArrived() && IsConnectionError(*failure) &&
                           failure->kind != StreamFailureKind::Silent;
    if (!mayResume || Decide(retry::Progress::Unknown, true).kind != retry::RetryKind::Resume) {
      co_return co_await HandleFailure(aEngine, aStream, *failure);
    }
    ++mResumes;
    mParts->metrics->GetCounter({ "masticstep_stream_resumes_total", "", "" })->Add();
    opened = co_await aStream.Resume(mMetrics->Tokens());
  }
}

net::Task<std::optional<StreamFailure>> CompletionSession::Relay(EngineStream& aStream)
{
  while (true) {
    const Result<std::optional<TokenEvent>, StreamFailure> next = co_await aStream.Next();
    if (!next) {
      co_return next.error();
    }
    if (!*next) {
      co_return std::nullopt;
    }
    const Time now = net::Now();
    mMetrics->OnToken(now);
    mResumes = 0;
    mParts->engines->OnTokens(mName.number, 1, now);
    const Result<void, net::NetError> written = co_await mResponse->Add(**next);
    if (!written) {
      Interrupt(Interruption::CallerGone);
    }
    if (mInterruption != Interruption::None) {
      co_return std::nullopt;
    }
  }
}

EngineQuery CompletionSession::BuildQuery() const
{
  return {
    mName.number,       mService->name,        mClass->name,  mAccount->name, mRequest.promptTokens,
    mRequest.maxTokens, mRequest.prefixHashes, mWaitingSince, mDeadline,      mClass->priority,
    mExcluded
  };
}

const BackendServer* CompletionSession::FindEngine(const EngineId& aEngine) const
{
  for (const BackendServer& engine : mService->backendServers) {
    if (engine.name == aEngine) {
      return &engine;
    }
  }
  return nullptr;
}

net::Task<void> CompletionSession::Refuse(Refusal aRefusal)
{
  mParts->metrics->GetCounter({ "masticstep_refusals_total", "type", aRefusal.type })->Add();
  telemetry::Log(Level::Info, "request refused",
                 { { "request_id", mName.text },
                   { "status", aRefusal.status },
                   { "type", aRefusal.type },
                   { "run", ToString(aRefusal.run) },
                   { "account", mAccount == nullptr ? "" : mAccount->name.Text() } });
  if (mResponse) {
    co_await mResponse->Fail(aRefusal);
  } else {
    co_await mResponder.Send(ToResponse(aRefusal, mName.text));
  }
}

void CompletionSession::LogEnd(const char* aOutcome) const
{
  const Duration spent = net::Now() - mArrived;
  telemetry::Log(Level::Info, "request finished",
                 { { "request_id", mName.text },
                   { "outcome", aOutcome },
                   { "account", mAccount->name.Text() },
                   { "service", mService->name.Text() },
                   { "class", mClass->name.Text() },
                   { "tokens", mMetrics->Tokens() },
                   { "milliseconds", ToSeconds(spent) * 1000.0 } });
}

} // namespace masticstep::gateway
