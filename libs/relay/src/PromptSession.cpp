#include "PromptSession.hpp"

#include "AsyncPromptQueue.hpp"
#include "StreamOriginExchange.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/HttpClient.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <utility>

namespace masticstep::relay {

using dispatch::Outcome;

namespace {

// Time reserved for sending the first event before the caller gives up.
constexpr Duration kFirstEventReserve = Milliseconds(300);
constexpr std::uint32_t kTransfersPerPrefill = 2;
// Until an engine that refused a stream of its software version is asked again.
constexpr Duration kRefusalPause = Milliseconds(300);
// To find out at which software version a resumed stream began.
constexpr Duration kOriginTimeout = Milliseconds(800);

net::Task<void> SendKvCacheRelease(std::shared_ptr<RelayState> aState, KvCacheHandle aHandle)
{
  net::HttpRequest request = aState->dialect->BuildKvCacheRelease(aHandle);
  const net::HostPort address{ aHandle.engine.ip, aHandle.engine.port };
  const net::FetchLimits limits{ Milliseconds(300), Milliseconds(500), 65536 };
  // The handle expires on the engine, so a failed request is not retried.
  co_await net::Fetch(*aState->pool, address, std::move(request), limits);
}

} // namespace

PromptSession::PromptSession(std::shared_ptr<RelayState> aState, RoutedRequest aRoutedRequest,
                             net::HttpResponder& aResponder)
  : Session(std::move(aState), std::move(aRoutedRequest), aResponder)
  , mSequence(mRequest.route->isResumable ? mRequest.call.lastEventId : std::nullopt)
{
  mWork.service = mRequest.service;
  mWork.prompt = mRequest.call.prompt.value_or(dispatch::Prompt{});
  mWork.keys = dispatch::PrefixKeys(mWork.prompt);
}

PromptSession::~PromptSession()
{
  ReleaseKvCache();
}

net::Task<void> PromptSession::Run()
{
  Step step = Step::Continue;
  if (mRequest.call.lastEventId && mRequest.route->isResumable) {
    step = co_await FindVersion();
  }
  while (step == Step::Continue) {
    step = co_await Attempt();
  }
}

net::Task<PromptSession::Step> PromptSession::FindVersion()
{
  Time until = std::min(net::Now() + kOriginTimeout, mRequest.deadline);
  if (mState->drain) {
    until = std::min(until, mState->drain->FinalAnswers());
  }
  std::string attempt = mRequest.call.resumedCallId;
  std::vector<ServiceName> services = dispatch::ServicesOf(*mRequest.route, mRequest.service);
  const std::optional<StreamStart> start =
    co_await FindStreamStart(*mState, std::move(attempt), std::move(services), until);
  if (start) {
    mRequest.service = start->service;
    mWork.service = start->service;
    mWork.version = start->version;
  }
  telemetry::Log(telemetry::Level::Info, "stream resumed by its caller",
                 { { "request_id", mRequest.call.id },
                   { "resumes", mRequest.call.resumedCallId },
                   { "last_event_id", *mRequest.call.lastEventId },
                   { "is_known", start.has_value() },
                   { "service", mRequest.service.Text() },
                   { "software_version", mWork.version.value_or(SoftwareVersion{}).Text() } });
  if (mWork.version) {
    co_return Step::Continue;
  }
  co_return co_await Abort("unknown_version",
                           "it is not known which software version began the stream");
}

net::Task<PromptSession::Step> PromptSession::Attempt()
{
  if (IsCallerGone() || IsPastDeadline()) {
    co_return co_await Abort("deadline", "the deadline has passed");
  }
  if (IsStoppedByShutdown()) {
    co_return co_await AbortForShutdown();
  }
  if (IsQuarantined()) {
    co_return co_await Abort("quarantined", kQuarantinedMessage);
  }
  if (IsKeyWithdrawn()) {
    co_await RefuseWithdrawnKey();
    co_return Step::Done;
  }
  if (!mKvSource) {
    dispatch::QueuedPrompt waiting = MakeWaitingPrompt();
    const Result<dispatch::PrefillPlacement, NoEngineError> placement =
      co_await mState->promptQueue->WaitForEngine(std::move(waiting));
    if (!placement && IsStoppedByShutdown()) {
      co_return co_await AbortForShutdown();
    }
    if (!placement) {
      const std::optional<Duration> pause =
        mState->dispatcher.RetryAfter(mRequest.service, net::Now());
      mRetryAfter = std::max(pause.value_or(Duration::zero()), placement.error().retryAfter);
      co_return co_await Abort("no_engine", "no engine of the service can start in time");
    }
    // The part may have been put into quarantine while the prompt was waiting.
    if (IsQuarantined()) {
      mState->dispatcher.OnDone(placement->engine.id, mRequest.number, Outcome::Abandoned,
                                net::Now());
      co_return co_await Abort("quarantined", kQuarantinedMessage);
    }
    if (IsKeyWithdrawn()) {
      mState->dispatcher.OnDone(placement->engine.id, mRequest.number, Outcome::Abandoned,
                                net::Now());
      co_await RefuseWithdrawnKey();
      co_return Step::Done;
    }
    PinVersion(placement->engine.softwareVersion);
    if (placement->engine.stage != dispatch::Stage::Prefill) {
      mState->dispatcher.OnDone(placement->engine.id, mRequest.number, Outcome::Abandoned,
                                net::Now());
      co_return co_await RunDecode(placement->engine);
    }
    if (IsCallerGone()) {
      mState->dispatcher.OnDone(placement->engine.id, mRequest.number, Outcome::Abandoned,
                                net::Now());
      co_return Step::Continue;
    }
    co_return co_await RunPrefill(*placement);
  }
  const std::optional<dispatch::Backend> engine =
    mState->dispatcher.ChooseDecodeEngine(mWork, &*mPrefillEngine, net::Now());
  if (engine) {
    co_return co_await RunDecode(*engine);
  }
  // Engines of another software version may be able to read the prompt and write the answer. A
  // request that is bound to this version may need the engine itself, once it decodes.
  if (!mWork.version) {
    mWork.excluded.push_back(mPrefillEngine->id);
  }
  ReleaseKvCache();
  if (mPrefillAttempts < kMaximumPrefills && TryTakeRetry()) {
    co_return Step::Continue;
  }
  co_return co_await Abort("no_engine", "no engine of the service can write the answer");
}

dispatch::QueuedPrompt PromptSession::MakeWaitingPrompt() const
{
  const dispatch::Route& route = *mRequest.route;
  const Time callerLeavesAt =
    dispatch::CallerDeadline(route, mLastEvent.value_or(mRequest.arrived));
  dispatch::QueuedPrompt waiting;
  waiting.id = mRequest.number;
  waiting.request = mWork;
  waiting.priority = mRequest.priority;
  waiting.arrived = mRequest.arrived;
  waiting.target = mRequest.arrived + route.target;
  waiting.isResumption = route.isResumable && mSequence.LastEventId().has_value();
  waiting.callerDeadline = std::min(callerLeavesAt - kFirstEventReserve, mRequest.deadline);
  return waiting;
}

void PromptSession::StopWaiting()
{
  mState->promptQueue->Cancel(mRequest.number);
  Session::StopWaiting();
}

void PromptSession::OnListenerEnd()
{
  if (IsStoppedByShutdown()) {
    mState->promptQueue->Cancel(mRequest.number);
  }
}

net::Task<PromptSession::Step> PromptSession::RunPrefill(
  const dispatch::PrefillPlacement& aPlacement)
{
  const std::optional<ExchangeError> error = co_await Prefill(aPlacement);
  if (!error) {
    co_return Step::Continue;
  }
  const bool mayRetry = error->progress == Progress::NotSent || TryTakeRetry();
  if (mayRetry && mPrefillAttempts < kMaximumPrefills && !IsCallerGone() && !IsPastDeadline()) {
    co_return Step::Continue;
  }
  co_return co_await Abort("prompt_not_read", "the prompt was not read: " + error->detail);
}

net::Task<std::optional<ExchangeError>> PromptSession::Prefill(
  const dispatch::PrefillPlacement& aPlacement)
{
  const dispatch::Backend engine = aPlacement.engine;
  const Time sent = net::Now();
  RecordDemand(aPlacement, sent);
  SendOptions options = OptionsFor(engine);
  options.prefillOnly = true;
  options.priority = mRequest.priority.EngineLevel();
  Exchange exchange(*mState, engine, mRequest.call.id, mUsedConnections);
  mActiveExchange = &exchange;
  net::HttpRequest request = mState->dialect->BuildBackendRequest(mRequest.call, options);
  Result<BackendResponseHead, ExchangeError> head =
    co_await exchange.Start(std::move(request), mRequest.deadline, kMaximumIdleRepeatable);
  Result<std::string, net::NetError> body;
  if (head) {
    body = co_await exchange.ReadAll();
  }
  mActiveExchange = nullptr;
  const bool wasSent = head || head.error().progress != Progress::NotSent;
  mPrefillAttempts += wasSent ? 1 : 0;
  if (!head) {
    RecordPrefillFailure(engine, head.error());
    co_return head.error();
  }
  const std::optional<std::string> handle =
    body && IsSuccess(head->status) ? mState->dialect->ParseKvCacheHandle(*body) : std::nullopt;
  if (!handle) {
    const ExchangeError error = UnusableResponseError(*head);
    RecordPrefillFailure(engine, error);
    co_return error;
  }
  const Time now = net::Now();
  mState->dispatcher.OnDone(engine.id, mRequest.number, Outcome::Answered, now);
  mState->promptQueue->ReleaseReady();
  mState->dispatcher.OnPrefillDone(engine.id, mWork, aPlacement, now - sent, now);
  telemetry::Log(telemetry::Level::Info, "prompt read",
                 { { "request_id", mRequest.call.id },
                   { "engine", engine.id.Text() },
                   { "tokens", mWork.prompt.promptTokens },
                   { "expected_wait_ms", ToSeconds(aPlacement.wait) * 1000.0 },
                   { "expected_read_ms", ToSeconds(aPlacement.prefillTime) * 1000.0 },
                   { "took_ms", ToSeconds(now - sent) * 1000.0 } });
  mKvSource = KvCacheHandle{ engine.address, *handle };
  mPrefillEngine = engine;
  co_return std::nullopt;
}

void PromptSession::RecordDemand(const dispatch::PrefillPlacement& aPlacement, Time aNow)
{
  const dispatch::ServiceTraits* service = mState->table->FindService(mRequest.service);
  if (std::exchange(mIsDemandRecorded, true) || service == nullptr || !service->engine) {
    return;
  }
  mState->stageDemand.OnStart(
    mRequest.service,
    { aPlacement.prefillTime, mWork.prompt.promptTokens, mWork.prompt.maximumOutput },
    *service->engine, aNow);
}

void PromptSession::RecordPrefillFailure(const dispatch::Backend& aEngine,
                                         const ExchangeError& aError)
{
  mState->dispatcher.OnDone(aEngine.id, mRequest.number, OutcomeOf(aError), net::Now());
  LogFailure(aEngine, aError);
  ReportBrokenAnswer(aEngine, aError, Suspects::WholeRequest);
  mWork.excluded.push_back(aEngine.id);
}

net::Task<PromptSession::Step> PromptSession::RunDecode(const dispatch::Backend& aEngine)
{
  Exchange exchange(*mState, aEngine, mRequest.call.id, mUsedConnections);
  const Result<BackendResponseHead, ExchangeError> head = co_await StartDecode(aEngine, exchange);
  Step step = Step::Done;
  if (head) {
    step = co_await RelayStream(aEngine, exchange, *head);
  } else {
    step = co_await HandleDecodeFailure(aEngine, head.error());
  }
  mActiveExchange = nullptr;
  co_return step;
}

net::Task<Result<BackendResponseHead, ExchangeError>> PromptSession::StartDecode(
  const dispatch::Backend& aEngine, Exchange& aExchange)
{
  mDecodeSentAt = net::Now();
  mHasEventsOfAttempt = false;
  mState->dispatcher.OnSent(aEngine.id, mRequest.number, Duration::zero(),
                            mWork.prompt.promptTokens, mDecodeSentAt);
  SendOptions options = OptionsFor(aEngine);
  options.source = mKvSource;
  options.priority = mRequest.priority.EngineLevel();
  if (mSequence.LastEventId()) {
    options.lastEventId = mSequence.LastEventId();
  }
  mActiveExchange = &aExchange;
  net::HttpRequest request = mState->dialect->BuildBackendRequest(mRequest.call, options);
  Result<BackendResponseHead, ExchangeError> head =
    co_await aExchange.Start(std::move(request), mRequest.deadline, MaximumIdle());
  if (head) {
    if (mKvSource) {
      mState->dispatcher.OnKvTransfer(mPrefillEngine->id, true, net::Now());
    }
    mKvSource.reset();
  } else if (head.error().progress == Progress::Unknown) {
    mKvSource.reset();
  }
  co_return head;
}

net::Task<PromptSession::Step> PromptSession::HandleDecodeFailure(const dispatch::Backend& aEngine,
                                                                  ExchangeError aError)
{
  if (mActiveExchange != nullptr) {
    mActiveExchange->Close();
  }
  RecordDecodeFailure(aEngine, aError);
  bool mayRetry = aError.progress == Progress::NotSent;
  if (aError.progress == Progress::NotExecuted) {
    mayRetry = TryTakeRetry(MessagesToRepeat());
  } else if (aError.progress == Progress::Unknown) {
    mayRetry = mRequest.route->IsRetryable() && mExecutions < mRequest.route->attempts &&
               TryTakeRetry(MessagesToRepeat());
  }
  const bool mayPrefill = mKvSource || mPrefillAttempts < kMaximumPrefills;
  if (mayRetry && mayPrefill && !IsCallerGone() && !IsPastDeadline()) {
    co_return Step::Continue;
  }
  co_return co_await Abort("answer_failed", "the engine failed: " + aError.detail);
}

void PromptSession::RecordDecodeFailure(const dispatch::Backend& aEngine,
                                        const ExchangeError& aError)
{
  mState->dispatcher.OnDone(aEngine.id, mRequest.number, OutcomeOf(aError), net::Now());
  LogFailure(aEngine, aError);
  // An engine that has sent events got past the begin of the answer, where prompt parts do harm.
  ReportBrokenAnswer(aEngine, aError, mHasEventsOfAttempt ? Suspects::WholeRequest : Suspects::All);
  // Only engines of its version can go on with a stream, so none of them is given up for a refusal.
  const bool isBound = mWork.version && mSequence.LastEventId();
  if (isBound && aError.progress == Progress::NotExecuted) {
    mWork.refusedUntil[aEngine.id] = net::Now() + kRefusalPause;
  } else {
    mWork.excluded.push_back(aEngine.id);
  }
  if (aError.progress == Progress::NotExecuted) {
    OnKvTransferRefused();
  } else if (aError.progress == Progress::Unknown) {
    ++mExecutions;
    mPossiblyExecuted = true;
  }
}

std::uint32_t PromptSession::MessagesToRepeat() const
{
  const bool isPrefilledAgain = !mKvSource && mPrefillAttempts > 0;
  return isPrefilledAgain ? 2 : 1;
}

void PromptSession::OnKvTransferRefused()
{
  if (!mKvSource) {
    return;
  }
  // The refusal does not tell whether the engine is full or the KV cache transfer failed. After the
  // second refusal, the prefill is repeated on another engine.
  mState->dispatcher.OnKvTransfer(mPrefillEngine->id, false, net::Now());
  if (++mRefusedTransfers % kTransfersPerPrefill == 0) {
    mWork.excluded.push_back(mPrefillEngine->id);
    ReleaseKvCache();
  }
}

net::Task<PromptSession::Step> PromptSession::Abort(std::string aReason, std::string aMessage)
{
  if (mIsEnding) {
    co_return co_await AbortForShutdown();
  }
  if (mResponder.HasStarted() && !IsCallerGone()) {
    LogCutStream(aReason);
  }
  co_await GiveUp(std::move(aReason), std::move(aMessage));
  co_return Step::Done;
}

net::Task<PromptSession::Step> PromptSession::AbortForShutdown()
{
  if (mResponder.HasStarted() && !IsCallerGone()) {
    LogCutStream(kStoppingReason);
  }
  co_await RefuseForShutdown();
  co_return Step::Done;
}

void PromptSession::ReleaseKvCache()
{
  if (!mKvSource) {
    return;
  }
  boost::asio::co_spawn(mState->executor, SendKvCacheRelease(mState, *mKvSource),
                        boost::asio::detached);
  mKvSource.reset();
}

} // namespace masticstep::relay
