#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace masticstep::gateway {

// Incremental parser that returns the data of the events of a server-sent event stream. Comments
// are skipped.
class SseParser
{
public:
  void Feed(std::string_view aBytes);
  // Returns the data of the next complete event, if one has arrived.
  std::optional<std::string> Next();
  // Returns true once an event exceeds the maximum length.
  bool IsOverlong() const { return mIsOverlong; }

private:
  std::optional<std::string_view> NextLine();

  std::string mBuffer;
  std::size_t mStart = 0;
  std::string mData;
  bool mHasData = false;
  bool mIsOverlong = false;
};

} // namespace masticstep::gateway
