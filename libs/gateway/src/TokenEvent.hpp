#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticstep::gateway {

// One event of an engine's stream.
struct TokenEvent
{
  std::string id; // request id
  std::uint32_t offset = 0;
  std::string text;
  std::string finishReason; // empty until the last token
  std::string data;         // as the engine sent it

  // Returns nothing if the data are not a token event.
  static std::optional<TokenEvent> Parse(std::string_view aData);

  bool operator==(const TokenEvent&) const = default;
};

// Returns true for the event by which an engine reports that the request failed.
bool IsErrorEvent(const std::string& aData);

} // namespace masticstep::gateway
