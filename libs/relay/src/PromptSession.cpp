#include "PromptSession.hpp"

#include "PromptGate.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/HttpClient.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <utility>

namespace masticstep::relay {

using dispatch::Outcome;

namespace {

// A stream that may be resumed is taken up elsewhere after this time without a byte.
constexpr Duration kSilence = Milliseconds(1000);
// The first event must be on its way before the caller leaves.
constexpr Duration kPatienceReserve = Milliseconds(300);
constexpr std::uint32_t kMaximumReads = 3;
constexpr std::uint32_t kHandoversOfOneRead = 2;

ExchangeError Unusable(const BackendResponseHead& aHead)
{
  return { Progress::Unknown, net::NetErrorKind::Malformed,
           "unsigned answer with status " + std::to_string(aHead.status) };
}

net::Task<void> Free(std::shared_ptr<RelayState> aParts, KvCacheHandle aHandle)
{
  net::HttpRequest request = aParts->dialect->BuildKvCacheRelease(aHandle);
  const net::HostPort address{ aHandle.engine.ip, aHandle.engine.port };
  const net::FetchLimits limits{ Milliseconds(300), Milliseconds(500), 65536 };
  // The engine drops the memory by itself after a while, so a failure needs no second try.
  co_await net::Fetch(*aParts->pool, address, std::move(request), limits);
}

} // namespace

PromptSession::PromptSession(std::shared_ptr<RelayState> aParts, Incoming aIncoming,
                             net::HttpResponder& aResponder)
  : Session(std::move(aParts), std::move(aIncoming), aResponder)
  , mLastEventId(mIncoming.call.lastEventId)
{
  mWork.service = mIncoming.service;
  mWork.prompt = mIncoming.call.prompt.value_or(dispatch::Prompt{});
  mWork.keys = dispatch::PrefixKeys(mWork.prompt);
}

PromptSession::~PromptSession()
{
  FreePrompt();
}

net::Task<void> PromptSession::Run()
{
  Step step = Step::Again;
  while (step == Step::Again) {
    step = co_await Attempt();
  }
}

net::Task<PromptSession::Step> PromptSession::Attempt()
{
  if (IsGone() || IsLate()) {
    co_return co_await BreakOff("deadline", "the deadline has passed");
  }
  if (!mSource) {
    dispatch::WaitingPrompt waiting = Waiting();
    const Result<dispatch::PromptPlacement, NoEngine> placement =
      co_await mParts->prompts->Enter(std::move(waiting));
    if (!placement) {
      mRetryAfter = placement.error().retryAfter;
      co_return co_await BreakOff("no_engine", "no engine of the service can start in time");
    }
    if (placement->engine.stage != dispatch::Stage::Prefill) {
      mParts->dispatcher.OnDone(placement->engine.id, mIncoming.number, Outcome::Abandoned,
                                net::Now());
      co_return co_await WriteAnswer(placement->engine);
    }
    if (IsGone()) {
      mParts->dispatcher.OnDone(placement->engine.id, mIncoming.number, Outcome::Abandoned,
                                net::Now());
      co_return Step::Again;
    }
    co_return co_await ReadPrompt(*placement);
  }
  const std::optional<dispatch::Backend> engine =
    mParts->dispatcher.PlaceAnswer(mWork, &*mReader, net::Now());
  if (!engine) {
    co_return co_await BreakOff("no_engine", "no engine of the service can write the answer");
  }
  co_return co_await WriteAnswer(*engine);
}

dispatch::WaitingPrompt PromptSession::Waiting() const
{
  const dispatch::Route& route = *mIncoming.route;
  const Time leaves = dispatch::LeavesAt(route, mLastEvent.value_or(mIncoming.arrived));
  dispatch::WaitingPrompt waiting;
  waiting.id = mIncoming.number;
  waiting.work = mWork;
  waiting.priority = route.priority;
  waiting.arrived = mIncoming.arrived;
  waiting.target = mIncoming.arrived + route.target;
  waiting.giveUp = std::min(leaves - kPatienceReserve, mIncoming.deadline);
  return waiting;
}

void PromptSession::OnGone()
{
  mParts->prompts->Leave(mIncoming.number);
  Session::OnGone();
}

net::Task<PromptSession::Step> PromptSession::ReadPrompt(
  const dispatch::PromptPlacement& aPlacement)
{
  const dispatch::Backend engine = aPlacement.engine;
  const Time sent = net::Now();
  SendOptions options = OptionsFor(engine);
  options.prefillOnly = true;
  options.priority = mIncoming.route->priority;
  Exchange exchange(*mParts, engine, mIncoming.call.id);
  mExchange = &exchange;
  net::HttpRequest request = mParts->dialect->BuildBackendRequest(mIncoming.call, options);
  Result<BackendResponseHead, ExchangeError> head =
    co_await exchange.Start(std::move(request), mIncoming.deadline, kIdleOfRepeatable);
  Result<std::string, net::NetError> body;
  if (head) {
    body = co_await exchange.ReadAll(mIncoming.deadline);
  }
  mExchange = nullptr;
  const bool wasSent = head || head.error().progress != Progress::NotSent;
  mReads += wasSent ? 1 : 0;
  if (!head) {
    co_return co_await AfterPromptFailure(engine, head.error());
  }
  const std::optional<std::string> handle =
    body && IsSuccess(head->status) ? mParts->dialect->ParseKvCacheHandle(*body) : std::nullopt;
  if (!handle) {
    co_return co_await AfterPromptFailure(engine, Unusable(*head));
  }
  const Time now = net::Now();
  mParts->dispatcher.OnDone(engine.id, mIncoming.number, Outcome::Answered, now);
  mParts->prompts->Pump();
  mParts->demand.OnRead(mIncoming.service, aPlacement.read, now);
  mParts->dispatcher.OnPromptRead(engine.id, mWork, aPlacement, now - sent, now);
  telemetry::Log(telemetry::Level::Info, "prompt read",
                 { { "request_id", mIncoming.call.id },
                   { "engine", engine.id.Text() },
                   { "tokens", mWork.prompt.promptTokens },
                   { "expected_wait_ms", ToSeconds(aPlacement.wait) * 1000.0 },
                   { "expected_read_ms", ToSeconds(aPlacement.read) * 1000.0 },
                   { "took_ms", ToSeconds(now - sent) * 1000.0 } });
  mSource = KvCacheHandle{ engine.address, *handle };
  mReader = engine;
  co_return Step::Again;
}

net::Task<PromptSession::Step> PromptSession::AfterPromptFailure(const dispatch::Backend& aEngine,
                                                                 ExchangeError aError)
{
  mParts->dispatcher.OnDone(aEngine.id, mIncoming.number, OutcomeOf(aError), net::Now());
  LogFailure(aEngine, aError);
  mWork.excluded.push_back(aEngine.id);
  const bool mayGoOn = aError.progress == Progress::NotSent || TakeRepeat();
  if (mayGoOn && mReads < kMaximumReads && !IsGone() && !IsLate()) {
    co_return Step::Again;
  }
  co_return co_await BreakOff("prompt_not_read", "the prompt was not read: " + aError.detail);
}

net::Task<PromptSession::Step> PromptSession::WriteAnswer(const dispatch::Backend& aEngine)
{
  mSent = net::Now();
  mParts->dispatcher.OnSent(aEngine.id, mIncoming.number, Duration::zero(),
                            mWork.prompt.promptTokens, mSent);
  SendOptions options = OptionsFor(aEngine);
  options.source = mSource;
  options.priority = mIncoming.route->priority;
  options.lastEventId = mLastEventId;
  Exchange exchange(*mParts, aEngine, mIncoming.call.id);
  mExchange = &exchange;
  net::HttpRequest request = mParts->dialect->BuildBackendRequest(mIncoming.call, options);
  const Result<BackendResponseHead, ExchangeError> head =
    co_await exchange.Start(std::move(request), mIncoming.deadline, LongestIdle());
  Step step = Step::Done;
  if (head) {
    if (mSource) {
      mParts->dispatcher.OnHandover(mReader->id, true, net::Now());
    }
    mSource.reset();
    step = co_await Relay(aEngine, exchange, *head);
  } else {
    if (head.error().progress == Progress::Unknown) {
      mSource.reset();
    }
    step = co_await AfterAnswerFailure(aEngine, head.error());
  }
  mExchange = nullptr;
  co_return step;
}

net::Task<PromptSession::Step> PromptSession::Relay(const dispatch::Backend& aEngine,
                                                    Exchange& aExchange, BackendResponseHead aHead)
{
  if (!aHead.isSigned || aHead.isEncoded) {
    co_return co_await AfterAnswerFailure(aEngine, Unusable(aHead));
  }
  if (!IsSuccess(aHead.status)) {
    co_return co_await PassOn(aEngine, aExchange, aHead);
  }
  EventSplitter events;
  const Duration silence = mIncoming.route->MayRepeat() ? kSilence : mIncoming.TimeLeft(net::Now());
  while (true) {
    const Duration left = std::max(mIncoming.TimeLeft(net::Now()), Milliseconds(1));
    const Result<std::string, net::NetError> part =
      co_await aExchange.ReadSome(std::min(silence, left));
    if (!part) {
      ExchangeError error{ Progress::Unknown, part.error().kind, net::ToString(part.error()) };
      co_return co_await AfterAnswerFailure(aEngine, std::move(error));
    }
    events.Add(*part);
    const bool isThere = co_await PassEvents(events, aExchange, aHead);
    if (!isThere) {
      ExchangeError error{ Progress::Unknown, net::NetErrorKind::Cancelled, "caller left" };
      co_return co_await AfterAnswerFailure(aEngine, std::move(error));
    }
    if (part->empty()) {
      break;
    }
  }
  if (events.HasRest() || !mResponder.HasStarted()) {
    ExchangeError error{ Progress::Unknown, net::NetErrorKind::Closed, "stream has no end" };
    co_return co_await AfterAnswerFailure(aEngine, std::move(error));
  }
  const Time now = net::Now();
  mParts->dispatcher.OnDone(aEngine.id, mIncoming.number, Outcome::Answered, now);
  mParts->demand.OnAnswer(mIncoming.service, now - mSent, aEngine.slots, now);
  co_await mResponder.EndStream();
  LogEnd("answered", aHead.status, mFirstEvent);
  co_return Step::Done;
}

net::Task<bool> PromptSession::PassEvents(EventSplitter& aEvents, const Exchange& aExchange,
                                          BackendResponseHead aHead)
{
  std::string whole;
  std::optional<StreamEvent> event = aEvents.Next();
  while (event) {
    // An engine that resumes may repeat events that the caller has.
    const bool isKnown = event->id && mLastEventId && *event->id <= *mLastEventId;
    if (!isKnown) {
      whole += event->text;
      mLastEventId = event->id ? event->id : mLastEventId;
    }
    event = aEvents.Next();
  }
  if (whole.empty()) {
    co_return !IsGone();
  }
  if (!mResponder.HasStarted()) {
    mFirstEvent = net::Now();
    telemetry::Log(telemetry::Level::Info, "answer begins",
                   { { "request_id", mIncoming.call.id },
                     { "engine", aExchange.BackendId().Text() },
                     { "after_send_ms", ToSeconds(*mFirstEvent - mSent) * 1000.0 } });
    net::HttpResponseHead head{ aHead.status,
                                mParts->dialect->SelectCallerHeaders(aExchange.Headers()) };
    mResponder.StartStream(std::move(head));
  }
  mLastEvent = net::Now();
  const Result<void, net::NetError> written = co_await mResponder.WriteChunk(whole);
  co_return written.has_value() && !IsGone();
}

net::Task<PromptSession::Step> PromptSession::PassOn(const dispatch::Backend& aEngine,
                                                     Exchange& aExchange, BackendResponseHead aHead)
{
  Result<std::string, net::NetError> body = co_await aExchange.ReadAll(mIncoming.deadline);
  ExchangeError error{ Progress::Unknown, net::NetErrorKind::Closed,
                       "status " + std::to_string(aHead.status) };
  const bool mayRepeat = mIncoming.route->MayRepeat() && mRuns + 1 < mIncoming.route->attempts;
  if (!body || mResponder.HasStarted() || mayRepeat) {
    co_return co_await AfterAnswerFailure(aEngine, std::move(error));
  }
  const bool isError = IsServerError(aHead.status);
  mParts->dispatcher.OnDone(aEngine.id, mIncoming.number,
                            isError ? Outcome::Failed : Outcome::Answered, net::Now());
  LogEnd("backend_error", aHead.status);
  net::HttpResponse response{ aHead.status,
                              mParts->dialect->SelectCallerHeaders(aExchange.Headers()),
                              std::move(*body) };
  co_await mResponder.Send(std::move(response));
  co_return Step::Done;
}

net::Task<PromptSession::Step> PromptSession::AfterAnswerFailure(const dispatch::Backend& aEngine,
                                                                 ExchangeError aError)
{
  if (mExchange != nullptr) {
    mExchange->Close();
  }
  mParts->dispatcher.OnDone(aEngine.id, mIncoming.number, OutcomeOf(aError), net::Now());
  LogFailure(aEngine, aError);
  mWork.excluded.push_back(aEngine.id);
  bool mayGoOn = aError.progress == Progress::NotSent;
  if (aError.progress == Progress::NotRun) {
    mayGoOn = TakeRepeat();
    OnHandoverRefused();
  } else if (aError.progress == Progress::Unknown) {
    ++mRuns;
    mMayHaveRun = true;
    mayGoOn = mIncoming.route->MayRepeat() && mRuns < mIncoming.route->attempts && TakeRepeat();
  }
  const bool mayRead = mSource || mReads < kMaximumReads;
  if (mayGoOn && mayRead && !IsGone() && !IsLate()) {
    co_return Step::Again;
  }
  co_return co_await BreakOff("answer_failed", "the engine failed: " + aError.detail);
}

void PromptSession::OnHandoverRefused()
{
  if (!mSource) {
    return;
  }
  // The engine does not say whether it is full or cannot get the memory. After a second refusal
  // another engine reads the prompt again.
  mParts->dispatcher.OnHandover(mReader->id, false, net::Now());
  if (++mRefusedHandovers % kHandoversOfOneRead == 0) {
    mWork.excluded.push_back(mReader->id);
    FreePrompt();
  }
}

net::Task<PromptSession::Step> PromptSession::BreakOff(std::string aReason, std::string aMessage)
{
  co_await GiveUp(std::move(aReason), std::move(aMessage));
  co_return Step::Done;
}

void PromptSession::FreePrompt()
{
  if (!mSource) {
    return;
  }
  boost::asio::co_spawn(mParts->executor, Free(mParts, *mSource), boost::asio::detached);
  mSource.reset();
}

} // namespace masticstep::relay
