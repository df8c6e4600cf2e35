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
// Part of the first-token target that a request may wait for its turn. What waits longer would be
// late; with this share the mix benchmarks measure the goodput of docs/ROUTING.md.
constexpr double kWaitShare = 0.75;
// A step of an engine is about as long; no room comes free sooner.
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
  Result<CompletionRequest, Refusal> call = CompletionRequest::Parse(aRequest.body, aIsChat);
  if (!call) {
    return Failure(call.error());
  }
  mCall = std::move(*call);
  mService = mConfiguration->FindModel(mCall.model);
  if (mService == nullptr || !MayUse(*mAccount, mService->name)) {
    return Failure(NotFound("model '" + mCall.model.Text() + "' is unknown to this account"));
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
  mAnswer = CompletionResponse::Create(mCall, mName.text, mResponder);
  mMetrics.emplace(*mParts->metrics, mClass->name, mAccount->name, mArrived);
  const net::Executor executor = co_await boost::asio::this_coro::executor;
  const std::unique_ptr<RunningRequests::Entry> entry =
    mParts->running.Add(mName.number, executor, [this] { Interrupt(Interruption::Shutdown); });
  const net::Alarm alarm(executor, mDeadline, [this] { Interrupt(Interruption::DeadlinePassed); });
  mResponder.OnGone([this] { Interrupt(Interruption::CallerGone); });
  Result<void, Refusal> admitted = co_await Admit();
  if (admitted) {
    co_await Serve();
    if (mHasEntered) {
      mParts->admission.OnRequestEnded(mName.number, mCall.promptTokens + mMetrics->Tokens());
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
  const std::uint32_t output = mParts->engines->ExpectedOutput(Query());
  mParts->work.Add(mService->name, mCall.promptTokens, output);
  request.tokens = mCall.promptTokens + output;
  request.arrived = mArrived;
  request.deadline =
    std::min(mDeadline, mArrived + FromSeconds(kWaitShare * ToSeconds(mClass->firstToken)));
  mIsWaiting = true;
  Result<void, Refusal> admitted = co_await mParts->admission.WaitForAdmission(std::move(request));
  mIsWaiting = false;
  mHasEntered = admitted.has_value();
  co_return admitted;
}

net::Task<std::optional<Refusal>> CompletionSession::AfterNoRoom()
{
  const bool isReroute = mWaitingSince != mArrived;
  if (isReroute) {
    // It has had its turn, and its engine failed: it is not refused for the load of others.
    co_await net::Sleep(kRerouteInterval);
    mWaitingSince = net::Now();
    co_return std::nullopt;
  }
  mIsWaiting = true;
  const Result<void, Refusal> admitted = co_await mParts->admission.Requeue(mName.number);
  mIsWaiting = false;
  mHasEntered = admitted.has_value();
  co_return admitted ? std::nullopt : std::optional<Refusal>(admitted.error());
}

void CompletionSession::Interrupt(Interruption aReason)
{
  // A stream that has begun may run past the deadline: its caller is reading it.
  const bool isLate = aReason == Interruption::DeadlinePassed;
  if (isLate && mCall.isStreaming && mMetrics->Tokens() > 0) {
    return;
  }
  mInterruption = aReason;
  if (mIsWaiting) {
    mParts->admission.Cancel(mName.number);
  }
  if (mStream != nullptr) {
    mStream->Drop();
  }
}

net::Task<void> CompletionSession::Serve()
{
  mParts->retry.OnFirstAttempt(mService->name);
  AttemptEnd end = AttemptEnd::TryAnother;
  while (end == AttemptEnd::TryAnother) {
    if (mInterruption != Interruption::None) {
      end = InterruptedBetweenAttempts();
      break;
    }
    const Result<EngineId, SelectionFailure> chosen = mParts->engines->Choose(Query(), net::Now());
    if (!chosen && chosen.error() == SelectionFailure::NoCapacity) {
      const std::optional<Refusal> refusal = co_await AfterNoRoom();
      if (refusal && mInterruption == Interruption::None) {
        mRefusal = *refusal;
        end = AttemptEnd::Refused;
      }
      continue;
    }
    if (!chosen) {
      const RunState run = mMayHaveRun ? RunState::Unknown : RunState::NotRun;
      const bool isLate = chosen.error() == SelectionFailure::DeadlineCannotBeMet;
      mRefusal = { 503, isLate ? "overload" : "no_engine",
                   isLate ? "no engine can answer before the deadline" : "no engine is available",
                   run, kRetryAfterOverload };
      end = AttemptEnd::Refused;
      break;
    }
    const BackendServer* engine = FindEngine(*chosen);
    if (engine == nullptr) {
      // The engine is part of a newer configuration than this request's.
      mParts->engines->OnFailed(mName.number, EngineFailure::Refused, net::Now());
      mExcluded.push_back(*chosen);
      continue;
    }
    end = co_await Attempt(*engine);
  }
  if (end == AttemptEnd::Refused) {
    co_await Refuse(mRefusal);
  }
}

net::Task<CompletionSession::AttemptEnd> CompletionSession::Attempt(const BackendServer& aEngine)
{
  EngineStream stream(mParts->pool, AddressOf(aEngine.url), mName.text);
  mStream = &stream;
  const AttemptEnd end = co_await RelayWithResumes(aEngine, stream);
  mStream = nullptr;
  if (end == AttemptEnd::Done) {
    mParts->engines->OnFinished(mName.number, net::Now());
    co_await mAnswer->Finish();
    co_await stream.Finish();
    LogEnd("answered");
  }
  co_return end;
}

net::Task<CompletionSession::AttemptEnd> CompletionSession::RelayWithResumes(
  const BackendServer& aEngine, EngineStream& aStream)
{
  const std::string path =
    aEngine.url.path + (mCall.isChat ? "/v1/chat/completions" : "/v1/completions");
  mParts->engines->OnDispatched(mName.number, net::Now());
  Result<void, StreamFailure> opened =
    co_await aStream.Start(path, mCall.EngineRequestBody(mName.text, mClass->priority));
  while (true) {
    std::optional<StreamFailure> failure;
    if (opened) {
      failure = co_await Relay(aStream);
    } else {
      failure = opened.error();
    }
    if (mInterruption != Interruption::None) {
      co_return co_await AfterInterruption(aEngine, aStream);
    }
    if (!failure) {
      co_return AttemptEnd::Done;
    }
    telemetry::Log(Level::Warning, "engine attempt failed",
                   { { "request_id", mName.text },
                     { "engine", aEngine.name.Text() },
                     { "problem", failure->detail },
                     { "status", failure->status },
                     { "tokens", mMetrics->Tokens() } });
    mWaitingSince = net::Now();
    const bool mayResume = aStream.MayHaveArrived() && IsConnectionError(*failure);
    if (!mayResume || Decide(retry::Progress::Unknown, true).kind != retry::RetryKind::Resume) {
      co_return co_await AfterFailure(aEngine, aStream, *failure);
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
    const Result<void, net::NetError> written = co_await mAnswer->Add(**next);
    if (!written) {
      Interrupt(Interruption::CallerGone);
    }
    if (mInterruption != Interruption::None) {
      co_return std::nullopt;
    }
  }
}

EngineQuery CompletionSession::Query() const
{
  return { mName.number,       mService->name,   mClass->name,       mAccount->name,
           mCall.promptTokens, mCall.maxTokens,  mCall.prefixHashes, mWaitingSince,
           mDeadline,          mClass->priority, mExcluded };
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
  if (mAnswer) {
    co_await mAnswer->Fail(aRefusal);
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
