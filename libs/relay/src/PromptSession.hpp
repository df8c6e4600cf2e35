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
  PromptSession(std::shared_ptr<RelayState> aParts, Incoming aIncoming,
                net::HttpResponder& aResponder);
  ~PromptSession() override;

  net::Task<void> Run() override;

protected:
  void OnGone() override;

private:
  enum class Step
  {
    Done, // the request is answered or given up
    Again // another engine may be tried
  };

  net::Task<Step> Attempt();
  dispatch::WaitingPrompt Waiting() const;
  // Has the prompt read, unless its memory is held already.
  net::Task<Step> ReadPrompt(const dispatch::PromptPlacement& aPlacement);
  net::Task<Step> WriteAnswer(const dispatch::Backend& aEngine);
  net::Task<Step> Relay(const dispatch::Backend& aEngine, Exchange& aExchange,
                        BackendResponseHead aHead);
  net::Task<Step> PassOn(const dispatch::Backend& aEngine, Exchange& aExchange,
                         BackendResponseHead aHead);
  // Passes the whole events on that have arrived. Returns false if the caller has left.
  net::Task<bool> PassEvents(EventSplitter& aEvents, const Exchange& aExchange,
                             BackendResponseHead aHead);
  net::Task<Step> AfterPromptFailure(const dispatch::Backend& aEngine, ExchangeError aError);
  net::Task<Step> AfterAnswerFailure(const dispatch::Backend& aEngine, ExchangeError aError);
  // An engine did not take the memory of the prompt over.
  void OnHandoverRefused();
  // Ends an answer that has begun without its end, or refuses one that has not.
  net::Task<Step> BreakOff(std::string aReason, std::string aMessage);
  // Frees memory that was read and that nobody will take.
  void FreePrompt();

  dispatch::PromptWork mWork;
  std::optional<KvCacheHandle> mSource;
  std::optional<dispatch::Backend> mReader; // engine of mSource
  std::optional<std::uint64_t> mLastEventId;
  std::uint32_t mReads = 0;
  std::uint32_t mRefusedHandovers = 0;
  Time mSent; // when the engine was last asked for the answer
  std::optional<Time> mFirstEvent;
  std::optional<Time> mLastEvent;
};

} // namespace masticstep::relay
