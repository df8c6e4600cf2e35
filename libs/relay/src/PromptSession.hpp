#pragma once

#include "EventSplitter.hpp"
#include "Session.hpp"
#include "StreamSequence.hpp"
#include "masticstep/dispatch/PromptQueue.hpp"
#include "masticstep/dispatch/StreamSilence.hpp"
#include "masticstep/net/Signal.hpp"

#include <memory>
#include <utility>

namespace masticstep::relay {

// Relays a request to a model: one engine runs the prefill, another one fetches its KV cache and
// runs the decode. The events of the response stream are forwarded as they arrive.
class PromptSession : public Session
{
public:
  PromptSession(std::shared_ptr<RelayState> aState, RoutedRequest aRoutedRequest,
                net::HttpResponder& aResponder);
  ~PromptSession() override;

  net::Task<void> Run() override;
  void OnListenerEnd() override;

protected:
  void StopWaiting() override;

private:
  enum class Step
  {
    Done,    // the request was answered or abandoned
    Continue // run the next stage, or retry on another engine
  };
  // Stream that another engine has accepted while its engine was silent.
  struct Offer
  {
    dispatch::Backend engine;
    std::unique_ptr<Exchange> exchange;
    BackendResponseHead head;
  };
  // State of WatchSilentEngine.
  struct SilentEngineWatch
  {
    explicit SilentEngineWatch(const net::Executor& aExecutor)
      : ended(aExecutor)
    {
    }

    net::Signal ended;
    bool hasEngineGoneOn = false;
    bool isOver = false; // the silent engine has gone on, broken off or been given up
  };
  static constexpr std::uint32_t kMaximumPrefills = 3; // of one request

  // Finds out at which software version a stream began that the caller resumes. Refuses the
  // request if nobody knows.
  net::Task<Step> FindVersion();
  // Lets only engines of this version serve the request, if its stream can be resumed. The version
  // is made known before an engine works on the request, so that it is mostly stored before the
  // caller has an event.
  void PinVersion(const SoftwareVersion& aVersion);
  net::Task<Step> Attempt();
  dispatch::QueuedPrompt MakeWaitingPrompt() const;
  net::Task<Step> RunPrefill(const dispatch::PrefillPlacement& aPlacement);
  // Runs the prefill on the engine of the placement and keeps the handle of its KV cache. Returns
  // the error after a failure, which is recorded.
  net::Task<std::optional<ExchangeError>> Prefill(const dispatch::PrefillPlacement& aPlacement);
  void RecordPrefillFailure(const dispatch::Backend& aEngine, const ExchangeError& aError);
  net::Task<Step> RunDecode(const dispatch::Backend& aEngine);
  // Sends the request to a decode engine and reads the head of its response.
  net::Task<Result<BackendResponseHead, ExchangeError>> StartDecode(
    const dispatch::Backend& aEngine, Exchange& aExchange);
  net::Task<Step> RelayStream(const dispatch::Backend& aEngine, Exchange& aExchange,
                              BackendResponseHead aHead);
  net::Task<Step> RelayError(const dispatch::Backend& aEngine, Exchange& aExchange,
                             BackendResponseHead aHead);
  void StartResponse(const Exchange& aExchange, const BackendResponseHead& aHead);
  // Forwards the complete events that have arrived. Returns why the exchange cannot go on, if so:
  // what the engine sends does not belong to the stream, or the caller has disconnected.
  net::Task<std::optional<ExchangeError>> RelayEvents(EventSplitter& aEvents,
                                                      dispatch::StreamSilence& aSilence,
                                                      Exchange& aExchange,
                                                      BackendResponseHead aHead);
  net::Task<void> ForwardEvents(std::string aText, const EventSplitter& aEvents,
                                Exchange& aExchange, BackendResponseHead aHead);
  net::Task<Step> HandleDecodeFailure(const dispatch::Backend& aEngine, ExchangeError aError);
  void RecordDecodeFailure(const dispatch::Backend& aEngine, const ExchangeError& aError);
  // Returns whether the stream may be offered to another engine: its attempts are not used up.
  bool MayOffer() const;
  // Offers the stream of a silent engine to another engine. Returns nothing if none has accepted
  // it; the stream then stays with the silent engine, which may be sound.
  net::Task<std::optional<Step>> OfferToOthers(const dispatch::Backend& aSilent,
                                               Exchange& aExchange, EventSplitter& aEvents,
                                               dispatch::StreamSilence& aSilence);
  net::Task<std::optional<Offer>> OfferTo(const dispatch::PrefillPlacement& aPlacement,
                                          const SilentEngineWatch& aWatch);
  // As StartDecode while a silent engine keeps the stream. Gives the engine up before both have
  // worked on the stream for too long.
  net::Task<Result<BackendResponseHead, ExchangeError>> StartOfferedDecode(
    const dispatch::Backend& aEngine, Exchange& aExchange, const SilentEngineWatch& aWatch);
  // Returns whether nothing of the response has come until aUntil.
  net::Task<bool> IsSilent(Exchange& aExchange, Time aUntil);
  // Withdraws an offer under way if the silent engine sends an event or ends the response.
  net::Task<void> WatchSilentEngine(Exchange& aExchange, EventSplitter& aEvents,
                                    SilentEngineWatch& aWatch);
  // Called when a decode engine refused the request; does nothing without a KV cache to transfer.
  // Returns how many messages engines get if the answer is attempted again: the prompt too, unless
  // its KV cache is still held.
  std::uint32_t MessagesToRepeat() const;
  void OnKvTransferRefused();
  // Counts the request for the stage plan, once.
  void RecordDemand(const dispatch::PrefillPlacement& aPlacement, Time aNow);
  // Returns whether the request must not be sent to an engine because the daemon is stopping. A
  // prompt that an engine has read may be answered.
  bool IsStoppedByShutdown() const { return mIsEnding || (!mKvSource && IsRefusedByShutdown()); }
  // Refuses the request, or leaves a response stream that has started without its terminating
  // chunk.
  net::Task<Step> Abort(std::string aReason, std::string aMessage);
  // As Abort, because the daemon is stopping.
  net::Task<Step> AbortForShutdown();
  // Logs that a response stream is left without its end, with what tells the causes apart.
  void LogCutStream(const std::string& aReason) const;
  // Releases a KV cache that no engine will fetch.
  void ReleaseKvCache();

  dispatch::PromptRequest mWork;
  std::optional<KvCacheHandle> mKvSource;
  std::optional<dispatch::Backend> mPrefillEngine; // engine that holds mKvSource
  StreamSequence mSequence;
  bool mIsDemandRecorded = false;
  std::uint32_t mPrefillAttempts = 0;
  std::uint32_t mRefusedTransfers = 0;
  bool mHasEventsOfAttempt = false; // the engine of the latest decode attempt has sent events
  Time mDecodeSentAt;               // start of the latest decode attempt
  std::optional<Time> mFirstEvent;
  std::optional<Time> mLastEvent;
};

} // namespace masticstep::relay
