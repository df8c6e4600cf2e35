#pragma once

#include "masticstep/dispatch/Dispatcher.hpp"
#include "masticstep/dispatch/RequestPriority.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace masticstep::dispatch {

// A prompt that waits for prefill.
struct QueuedPrompt
{
  RequestId id;
  PromptRequest request;
  RequestPriority priority;
  Time arrived;
  Time target;               // deadline for the first event
  Time callerDeadline;       // expected time at which the caller disconnects
  bool isResumption = false; // the caller already has events of the answer
};

// A prompt that leaves the queue, either placed on an engine or refused.
struct ReleasedPrompt
{
  RequestId id;
  std::optional<PrefillPlacement> placement; // empty if refused
  Duration retryAfter{ 0 }; // of a refusal: time after which the queue should be shorter
};

// Central queue of prompts that wait for prefill. Prompts queue here instead of at the engines,
// where a long prompt delays all those behind it and cannot be overtaken. Prompts that can still
// meet their target are ordered by priority and then by target; late prompts follow with the
// remaining engine time. Resumed streams come first: their callers wait for the next event, and
// behind new prompts they would wait until they leave. A prompt that cannot start before its caller
// disconnects is refused immediately. A resumed stream waits while no engine of its software
// version can write it but one may soon (see Dispatcher::AwaitsWriter), at most until its caller
// would leave. This bounds overload caused by bursts of one kind of request, lost engines and
// simultaneous retries.
class PromptQueue
{
public:
  explicit PromptQueue(Dispatcher& aDispatcher);

  // Returns a refusal if the prompt cannot start in time.
  std::optional<ReleasedPrompt> Add(QueuedPrompt aPrompt, Time aNow);
  // Removes a prompt whose caller has disconnected.
  void Remove(RequestId aId);
  // Returns the prompts that leave the queue now, in order. Placed prompts are reported to the
  // dispatcher as sent.
  std::vector<ReleasedPrompt> Release(Time aNow);
  bool IsEmpty() const { return mQueued.empty(); }
  std::size_t Size() const { return mQueued.size(); }

private:
  struct Rank
  {
    bool isLate = false;
    RequestPriority priority;
    Time target;

    auto operator<=>(const Rank&) const = default;
  };

  // Resumed streams also take an engine for decoding while all others are busy.
  std::optional<PrefillPlacement> ChooseEngine(const QueuedPrompt& aPrompt, Time aNow);
  Rank RankOf(const QueuedPrompt& aPrompt, Time aNow) const;
  Duration PrefillTimeAhead(const Rank& aRank, Time aNow) const;
  void Sort(Time aNow);

  Dispatcher& mDispatcher;
  std::vector<QueuedPrompt> mQueued;
};

} // namespace masticstep::dispatch
