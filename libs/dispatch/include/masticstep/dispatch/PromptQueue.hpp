#pragma once

#include "masticstep/dispatch/Dispatcher.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace masticstep::dispatch {

// A prompt that waits for an engine to read it.
struct QueuedPrompt
{
  RequestId id;
  PromptRequest request;
  std::uint8_t priority = 0; // 0 is the most urgent
  Time arrived;
  Time target;         // the first event is on time until then
  Time callerDeadline; // the caller leaves about then
};

// A prompt that leaves the queue: to an engine, or refused.
struct ReleasedPrompt
{
  RequestId id;
  std::optional<PrefillPlacement> placement; // none: refused
  Duration retryAfter{ 0 };                  // of a refusal: when the queue should be shorter
};

// Prompts wait here and not at the engines, where a long prompt holds up all behind it and nothing
// can be put in front. What can still be on time goes first, by priority and then by its target;
// the rest follows in what is left of the engines' time. What cannot start before its caller leaves
// is refused at once. Answers overload by bursts of one kind of request, lost engines and callers
// that return together.
class PromptQueue
{
public:
  explicit PromptQueue(Dispatcher& aDispatcher);

  // Returns a refusal if the prompt cannot start in time.
  std::optional<ReleasedPrompt> Add(QueuedPrompt aPrompt, Time aNow);
  // The caller has left.
  void Remove(RequestId aId);
  // Returns the prompts that leave the queue now, in order. Those with a placement are counted as
  // sent.
  std::vector<ReleasedPrompt> Release(Time aNow);
  bool IsEmpty() const { return mQueued.empty(); }
  std::size_t Size() const { return mQueued.size(); }

private:
  struct Rank
  {
    bool isLate = false;
    std::uint8_t priority = 0;
    Time target;

    auto operator<=>(const Rank&) const = default;
  };

  Rank RankOf(const QueuedPrompt& aPrompt, Time aNow) const;
  Duration PrefillTimeAhead(const Rank& aRank, Time aNow) const;
  void Sort(Time aNow);

  Dispatcher& mDispatcher;
  std::vector<QueuedPrompt> mQueued;
};

} // namespace masticstep::dispatch
