#pragma once

#include "EventSplitter.hpp"
#include "Session.hpp"
#include "masticstep/dispatch/PromptQueue.hpp"

namespace masticstep::relay {

// Relays a request to a model: one engine reads the prompt, another one takes its memory over and
// writes the answer, whose events are passed on as they arrive.
class PromptSession : public Session
{
public:
  PromptSession(std::shared_ptr<RelayState> aState, RoutedRequest aRoutedRequest,
                net::HttpResponder& aResponder);
  ~PromptSession() override;

  net::Task<void> Run() override;

protected:
  void OnCallerGone() override;

private:
  enum class Step
  {
    Done,    // the request is answered or given up
    Continue // another engine may be tried
  };

  net::Task<Step> Attempt();
  dispatch::WaitingPrompt MakeWaitingPrompt() const;
  // Has the prompt read, unless its memory is held already.
  net::Task<Step> RunPrefill(const dispatch::PromptPlacement& aPlacement);
  net::Task<Step> RunDecode(const dispatch::Backend& aEngine);
  net::Task<Step> RelayStream(const dispatch::Backend& aEngine, Exchange& aExchange,
                              BackendResponseHead aHead);
  net::Task<Step> RelayError(const dispatch::Backend& aEngine, Exchange& aExchange,
                             BackendResponseHead aHead);
  // Passes the whole events on that have arrived. Returns false if the caller has left.
  net::Task<bool> RelayEvents(EventSplitter& aEvents, const Exchange& aExchange,
                              BackendResponseHead aHead);
  net::Task<Step> HandlePrefillFailure(const dispatch::Backend& aEngine, ExchangeError aError);
  net::Task<Step> HandleDecodeFailure(const dispatch::Backend& aEngine, ExchangeError aError);
  // An engine did not take the memory of the prompt over.
  void OnKvTransferRefused();
  // Ends an answer that has begun without its end, or refuses one that has not.
  net::Task<Step> Abort(std::string aReason, std::string aMessage);
  // Frees memory that was read and that nobody will take.
  void ReleaseKvCache();

  dispatch::PromptWork mWork;
  std::optional<KvCacheHandle> mKvSource;
  std::optional<dispatch::Backend> mPrefillEngine; // engine of mKvSource
  std::optional<std::uint64_t> mLastEventId;
  std::uint32_t mPrefillAttempts = 0;
  std::uint32_t mRefusedTransfers = 0;
  Time mDecodeSentAt; // when the engine was last asked for the answer
  std::optional<Time> mFirstEvent;
  std::optional<Time> mLastEvent;
};

} // namespace masticstep::relay
