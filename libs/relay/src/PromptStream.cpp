// The part of PromptSession that forwards the response stream of an engine.
#include "AsyncPromptQueue.hpp"
#include "PromptSession.hpp"
#include "masticstep/net/Alarm.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Signal.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace masticstep::relay {

using dispatch::Outcome;

namespace {

// Longest time for which a silent engine and the one that its stream is offered to may both work on
// the stream. 400 ms are allowed; the rest is for the way to the engines.
constexpr Duration kMaximumOverlap = Milliseconds(350);

ExchangeError MakeError(net::NetErrorKind aKind, std::string aDetail)
{
  return { Progress::Unknown, aKind, std::move(aDetail) };
}

// An engine that stops, too, ends a stream early.
ExchangeError MakeError(StreamFault aFault)
{
  const bool isEarlyEnd = aFault == StreamFault::NoEvent || aFault == StreamFault::PartialEvent;
  return MakeError(isEarlyEnd ? net::NetErrorKind::Closed : net::NetErrorKind::Malformed,
                   ToString(aFault));
}

// Takes events up to the first one with data; returns whether there was one.
bool TakeEventWithData(EventSplitter& aEvents)
{
  std::optional<StreamEvent> event = aEvents.Next();
  while (event && !event->hasData) {
    event = aEvents.Next();
  }
  return event.has_value();
}

} // namespace

net::Task<PromptSession::Step> PromptSession::RelayStream(const dispatch::Backend& aEngine,
                                                          Exchange& aExchange,
                                                          BackendResponseHead aHead)
{
  if (aHead.isSigned && !aHead.isEncoded && !IsSuccess(aHead.status)) {
    co_return co_await RelayError(aEngine, aExchange, aHead);
  }
  if (!IsStream(aHead, aExchange.Headers())) {
    co_return co_await HandleDecodeFailure(aEngine, UnusableResponseError(aHead));
  }
  mSequence.BeginEngine();
  EventSplitter events;
  dispatch::StreamSilence silence(net::Now());
  bool hasEnded = false;
  while (!hasEnded) {
    // Bytes that complete no event are no progress: a stalled engine may send one now and then.
    const Time until = std::min(silence.NextOffer(), mRequest.deadline);
    bool isSilent = false;
    if (MayOffer()) {
      isSilent = co_await IsSilent(aExchange, until);
    }
    if (isSilent && !IsPastDeadline()) {
      const std::optional<Step> step = co_await OfferToOthers(aEngine, aExchange, events, silence);
      if (step) {
        co_return *step;
      }
      // A caller that leaves during the offer only closes the connection of the offer; RelayEvents
      // notices that it has left.
    } else {
      const Result<std::string, net::NetError> part = co_await aExchange.ReadSome();
      if (!part) {
        ExchangeError error = MakeError(part.error().kind, net::ToString(part.error()));
        co_return co_await HandleDecodeFailure(aEngine, std::move(error));
      }
      events.Add(*part);
      hasEnded = part->empty();
      const Result<void, net::NetError> held = aExchange.Hold(events.HeldBytes());
      if (!held) {
        ExchangeError error = MakeError(held.error().kind, net::ToString(held.error()));
        co_return co_await HandleDecodeFailure(aEngine, std::move(error));
      }
    }
    std::optional<ExchangeError> error = co_await RelayEvents(events, silence, aExchange, aHead);
    if (mIsEnding && !hasEnded) {
      error = MakeError(net::NetErrorKind::Cancelled, kStoppingMessage);
    }
    if (error) {
      co_return co_await HandleDecodeFailure(aEngine, std::move(*error));
    }
  }
  const std::optional<StreamFault> fault =
    mSequence.End(aExchange.Framing(), events.HasPartialEvent());
  if (fault) {
    co_return co_await HandleDecodeFailure(aEngine, MakeError(*fault));
  }
  if (!mResponder.HasStarted()) {
    StartResponse(aExchange, aHead);
  }
  const Time now = net::Now();
  mState->dispatcher.OnDone(aEngine.id, mRequest.number, Outcome::Answered, now);
  ReportAnswer();
  mState->stageDemand.OnDecoded(mRequest.service, now - mDecodeSentAt, mWork.prompt.maximumOutput,
                                now);
  co_await mResponder.EndStream();
  LogCompletion("answered", aHead.status, mFirstEvent);
  co_return Step::Done;
}

bool PromptSession::MayOffer() const
{
  return mRequest.route->IsRetryable() && mExecutions + 1 < mRequest.route->attempts &&
         mPrefillAttempts < kMaximumPrefills;
}

net::Task<bool> PromptSession::IsSilent(Exchange& aExchange, Time aUntil)
{
  const Duration left = std::max(aUntil - net::Now(), Milliseconds(1));
  const net::BodyState state = co_await aExchange.AwaitBody(left);
  co_return state == net::BodyState::Waiting&& net::Now() >= aUntil;
}

net::Task<void> PromptSession::WatchSilentEngine(Exchange& aExchange, EventSplitter& aEvents,
                                                 SilentEngineWatch& aWatch)
{
  // Looks ahead; aEvents keeps the events until the outcome of the offer is known.
  EventSplitter ahead = aEvents;
  net::BodyState state = net::BodyState::Ready;
  while (state == net::BodyState::Ready && !aWatch.hasEngineGoneOn) {
    state = co_await aExchange.AwaitBody(mRequest.TimeLeft(net::Now()));
    if (state == net::BodyState::Ready) {
      const Result<std::string, net::NetError> part = co_await aExchange.ReadSome();
      aEvents.Add(part.value_or(std::string{}));
      ahead.Add(part.value_or(std::string{}));
      const std::size_t heldBytes = aEvents.HeldBytes() + ahead.HeldBytes();
      if (aEvents.HasOversizedEvent() || !aExchange.Hold(heldBytes)) {
        // The offer goes on; if it is refused, the closed connection ends the attempt.
        aExchange.Close();
        break;
      }
      aWatch.hasEngineGoneOn = !part || part->empty() || TakeEventWithData(ahead);
    }
  }
  if (aWatch.hasEngineGoneOn && mActiveExchange != nullptr) {
    mActiveExchange->Close();
  }
  aWatch.isOver = true;
  aWatch.ended.Set();
}

net::Task<std::optional<PromptSession::Step>> PromptSession::OfferToOthers(
  const dispatch::Backend& aSilent, Exchange& aExchange, EventSplitter& aEvents,
  dispatch::StreamSilence& aSilence)
{
  if (std::find(mWork.excluded.begin(), mWork.excluded.end(), aSilent.id) == mWork.excluded.end()) {
    mWork.excluded.push_back(aSilent.id);
  }
  // Before an engine is chosen: a placement that is not used takes a part of its request limit.
  const bool isAffordable = mState->retryBudget.Allows(mRequest.service, net::Now());
  if (IsQuarantined() || !isAffordable) {
    aSilence.OnNoEngine(net::Now());
    co_return std::nullopt;
  }
  const std::optional<dispatch::PrefillPlacement> placement =
    mState->promptQueue->PlaceNow(MakeWaitingPrompt());
  const std::uint32_t messages =
    placement && placement->engine.stage == dispatch::Stage::Prefill ? 2 : 1;
  if (!placement || !TryTakeRetry(messages)) {
    if (placement) {
      mState->dispatcher.OnDone(placement->engine.id, mRequest.number, Outcome::Abandoned,
                                net::Now());
    }
    aSilence.OnNoEngine(net::Now());
    co_return std::nullopt;
  }
  telemetry::Log(telemetry::Level::Info, "stream offered to another engine",
                 { { "request_id", mRequest.call.id },
                   { "silent", aSilent.id.Text() },
                   { "engine", placement->engine.id.Text() },
                   { "last_event_id", mSequence.LastEventId().value_or(0) } });
  const Time decodeSentAt = mDecodeSentAt;
  const bool hadEvents = mHasEventsOfAttempt;
  SilentEngineWatch watch(mState->executor);
  mActiveExchange = nullptr;
  boost::asio::co_spawn(
    mState->executor,
    [this, &aExchange, &aEvents, &watch] { return WatchSilentEngine(aExchange, aEvents, watch); },
    boost::asio::detached);
  std::optional<Offer> accepted = co_await OfferTo(*placement, watch);
  aExchange.CancelAwait();
  co_await watch.ended.Wait();
  if (!accepted || watch.hasEngineGoneOn) {
    // The engine of the offer stops when its connection is closed.
    if (accepted) {
      ExchangeError error{ Progress::Unknown, net::NetErrorKind::Cancelled, "not needed" };
      accepted->exchange->Close();
      RecordDecodeFailure(accepted->engine, error);
    }
    ReleaseKvCache();
    mActiveExchange = &aExchange;
    mDecodeSentAt = decodeSentAt;
    mHasEventsOfAttempt = hadEvents;
    aSilence.OnRejected(net::Now());
    co_return std::nullopt;
  }
  ExchangeError error{ Progress::Unknown, net::NetErrorKind::TimedOut,
                       "silent; another engine has accepted the stream" };
  aExchange.Close();
  aEvents = EventSplitter();
  aExchange.Hold(0);
  RecordDecodeFailure(aSilent, error);
  const Step step = co_await RelayStream(accepted->engine, *accepted->exchange, accepted->head);
  co_return step;
}

net::Task<std::optional<PromptSession::Offer>> PromptSession::OfferTo(
  const dispatch::PrefillPlacement& aPlacement, const SilentEngineWatch& aWatch)
{
  dispatch::Backend engine = aPlacement.engine;
  if (engine.stage == dispatch::Stage::Prefill) {
    const std::optional<ExchangeError> error = co_await Prefill(aPlacement);
    if (error || aWatch.hasEngineGoneOn || IsQuarantined()) {
      co_return std::nullopt;
    }
    const std::optional<dispatch::Backend> decodeEngine =
      mState->dispatcher.ChooseDecodeEngine(mWork, &*mPrefillEngine, net::Now());
    if (!decodeEngine) {
      co_return std::nullopt;
    }
    engine = *decodeEngine;
  }
  std::unique_ptr<Exchange> exchange =
    std::make_unique<Exchange>(*mState, engine, mRequest.call.id, mUsedConnections);
  const Result<BackendResponseHead, ExchangeError> head =
    co_await StartOfferedDecode(engine, *exchange, aWatch);
  if (!head || !IsStream(*head, exchange->Headers())) {
    const ExchangeError error = head ? UnusableResponseError(*head) : head.error();
    exchange->Close();
    mActiveExchange = nullptr;
    RecordDecodeFailure(engine, error);
    co_return std::nullopt;
  }
  co_return Offer{ engine, std::move(exchange), *head };
}

net::Task<Result<BackendResponseHead, ExchangeError>> PromptSession::StartOfferedDecode(
  const dispatch::Backend& aEngine, Exchange& aExchange, const SilentEngineWatch& aWatch)
{
  // The engine may run the stream without an answer, and the silent one may be sound.
  const net::Alarm limit(mState->executor, net::Now() + kMaximumOverlap,
                         [this, &aExchange, &aWatch] {
                           if (aWatch.isOver) {
                             return; // only this engine works on the stream
                           }
                           telemetry::Log(telemetry::Level::Info, "offer of a stream withdrawn",
                                          { { "request_id", mRequest.call.id },
                                            { "engine", aExchange.Backend().id.Text() },
                                            { "reason", "no answer in time" } });
                           aExchange.Close();
                         });
  co_return co_await StartDecode(aEngine, aExchange);
}

void PromptSession::StartResponse(const Exchange& aExchange, const BackendResponseHead& aHead)
{
  net::HttpResponseHead head{ aHead.status,
                              mState->dialect->SelectCallerHeaders(aExchange.Headers()) };
  mResponder.StartStream(std::move(head));
}

net::Task<std::optional<ExchangeError>> PromptSession::RelayEvents(
  EventSplitter& aEvents, dispatch::StreamSilence& aSilence, Exchange& aExchange,
  BackendResponseHead aHead)
{
  std::string newEvents;
  std::optional<StreamFault> fault;
  std::optional<StreamEvent> event = aEvents.Next();
  while (event && !fault) {
    fault = mSequence.Add(*event);
    if (!fault) {
      newEvents += event->text;
    }
    if (!fault && event->hasData) {
      aSilence.OnEvent(net::Now());
    }
    event = aEvents.Next();
  }
  if (!newEvents.empty()) {
    co_await ForwardEvents(std::move(newEvents), aEvents, aExchange, std::move(aHead));
  }
  if (IsCallerGone()) {
    co_return MakeError(net::NetErrorKind::Cancelled, "caller left");
  }
  if (fault) {
    co_return MakeError(*fault);
  }
  if (aEvents.HasOversizedEvent()) {
    co_return MakeError(net::NetErrorKind::BodyTooLarge, "event has no end");
  }
  co_return std::nullopt;
}

net::Task<void> PromptSession::ForwardEvents(std::string aText, const EventSplitter& aEvents,
                                             Exchange& aExchange, BackendResponseHead aHead)
{
  mHasEventsOfAttempt = true;
  CountBegun();
  mWork.version = aExchange.Backend().softwareVersion;
  if (!mResponder.HasStarted()) {
    mFirstEvent = net::Now();
    telemetry::Log(telemetry::Level::Info, "answer begins",
                   { { "request_id", mRequest.call.id },
                     { "engine", aExchange.Backend().id.Text() },
                     { "software_version", aExchange.Backend().softwareVersion.Text() },
                     { "after_send_ms", ToSeconds(*mFirstEvent - mDecodeSentAt) * 1000.0 },
                     { "maximum_output", mWork.prompt.maximumOutput },
                     { "engine_running", aHead.load ? aHead.load->running : 0 },
                     { "engine_waiting", aHead.load ? aHead.load->waiting : 0 },
                     { "engine_pace_percent", aHead.load ? aHead.load->pacePercent : 0 } });
    StartResponse(aExchange, aHead);
  }
  mLastEvent = net::Now();
  // The events left the splitter, so this is no more than was held before.
  aText.shrink_to_fit();
  aExchange.Hold(aEvents.HeldBytes() + aText.capacity());
  // A failed write marks the caller as gone.
  co_await mResponder.WriteChunk(aText);
  aExchange.Hold(aEvents.HeldBytes());
}

void PromptSession::PinVersion(const SoftwareVersion& aVersion)
{
  if (mWork.version || !mRequest.route->isResumable) {
    return;
  }
  mWork.version = aVersion;
  mState->streamOrigins.OnBegan(mRequest.call.id, mRequest.service, aVersion, net::Now());
}

net::Task<PromptSession::Step> PromptSession::RelayError(const dispatch::Backend& aEngine,
                                                         Exchange& aExchange,
                                                         BackendResponseHead aHead)
{
  Result<std::string, net::NetError> body = co_await aExchange.ReadAll();
  const net::NetErrorKind kind = body ? net::NetErrorKind::Malformed : body.error().kind;
  ExchangeError error{ Progress::Unknown, kind, "status " + std::to_string(aHead.status) };
  const bool mayRepeat =
    mRequest.route->IsRetryable() && mExecutions + 1 < mRequest.route->attempts;
  if (!body || mResponder.HasStarted() || mayRepeat) {
    co_return co_await HandleDecodeFailure(aEngine, std::move(error));
  }
  const bool isError = IsServerError(aHead.status);
  mState->dispatcher.OnDone(aEngine.id, mRequest.number,
                            isError ? Outcome::Failed : Outcome::Answered, net::Now());
  LogCompletion("backend_error", aHead.status);
  net::HttpResponse response{ aHead.status,
                              mState->dialect->SelectCallerHeaders(aExchange.Headers()),
                              std::move(*body) };
  co_await mResponder.Send(std::move(response));
  co_return Step::Done;
}

void PromptSession::LogCutStream(const std::string& aReason) const
{
  const Time now = net::Now();
  mState->metrics.GetCounter({ "masticstep_cut_streams_total", "reason", aReason })->Add();
  telemetry::Log(telemetry::Level::Warning, "stream cut",
                 { { "request_id", mRequest.call.id },
                   { "reason", aReason },
                   { "last_event_id", mSequence.LastEventId().value_or(0) },
                   { "silent_ms", ToSeconds(now - mLastEvent.value_or(now)) * 1000.0 },
                   { "left_ms", ToSeconds(mRequest.TimeLeft(now)) * 1000.0 },
                   { "attempts", mExecutions },
                   { "attempts_allowed", mRequest.route->attempts },
                   { "configuration", mRequest.table->Version() },
                   { "configuration_in_force", mState->table->Version() } });
}

} // namespace masticstep::relay
