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

  bool operator==(const StreamEvent&) const = default;
};

// Splits an event stream into complete events, so that an event that the engine did not finish is
// never forwarded to a caller.
class EventSplitter
{
public:
  void Add(std::string_view aBytes) { mBytes += aBytes; }
  // Returns the next complete event, if one has arrived.
  std::optional<StreamEvent> Next();
  // Returns whether an incomplete event is buffered.
  bool HasPartialEvent() const { return mReadPosition < mBytes.size(); }

private:
  std::string mBytes;
  std::size_t mReadPosition = 0;
};

} // namespace masticstep::relay
