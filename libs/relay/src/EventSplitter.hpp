#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticstep::relay {

// Complete event of a text/event-stream, including the terminating empty line.
struct StreamEvent
{
  std::string text;
  std::optional<std::uint64_t> id;
  bool hasData = false; // false for comments and empty events, which only keep a connection open
  bool isWellFormed = true; // each line is a field of an event or a comment

  bool operator==(const StreamEvent&) const = default;
};

// Splits an event stream into complete events, so that an event that the engine did not finish is
// never forwarded to a caller.
class EventSplitter
{
public:
  // An engine whose event exceeds this size is faulty, and its bytes would fill the memory.
  static constexpr std::size_t kMaximumEventBytes = 1048576;

  void Add(std::string_view aBytes) { mBytes += aBytes; }
  // Returns the next complete event, if one has arrived.
  std::optional<StreamEvent> Next();
  // Returns whether an incomplete event is buffered.
  bool HasPartialEvent() const { return mReadPosition < mBytes.size(); }
  // Returns the memory that the buffered bytes take.
  std::size_t HeldBytes() const { return mBytes.capacity(); }
  // Returns whether the incomplete event is too large. It must be called after Next has returned
  // all complete events.
  bool HasOversizedEvent() const { return mBytes.size() - mReadPosition > kMaximumEventBytes; }

private:
  // A buffer up to this size is kept for the next event.
  static constexpr std::size_t kKeptBytes = 4096;

  std::string mBytes;
  std::size_t mReadPosition = 0;
  // Offset from mReadPosition before which no event ends. Without it, an event that arrives in many
  // parts would be searched from its begin each time.
  std::size_t mSearchOffset = 0;
};

} // namespace masticstep::relay
