#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticstep::relay {

// One whole event of a text/event-stream, with the empty line that ends it.
struct StreamEvent
{
  std::string text;
  std::optional<std::uint64_t> id;

  bool operator==(const StreamEvent&) const = default;
};

// Cuts the bytes of an event stream into whole events, so that an event which its engine did not
// finish never reaches a caller.
class EventSplitter
{
public:
  void Add(std::string_view aBytes) { mBytes += aBytes; }
  // Returns the next whole event, if one has arrived.
  std::optional<StreamEvent> Next();
  // Whether part of an event is left.
  bool HasPartialEvent() const { return mReadPosition < mBytes.size(); }

private:
  std::string mBytes;
  std::size_t mReadPosition = 0;
};

} // namespace masticstep::relay
