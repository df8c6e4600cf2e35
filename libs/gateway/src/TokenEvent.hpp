#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticstep::gateway {

// Token event of an engine's stream.
struct TokenEvent
{
  std::string id; // request id
  std::uint32_t offset = 0;
  std::string text;
  std::string finishReason; // empty until the last token
  std::string data;         // as sent by the engine

  // Returns nullopt if the data are not a token event.
  static std::optional<TokenEvent> Parse(std::string_view aData);

  bool operator==(const TokenEvent&) const = default;
};

// Returns true if the data are the event with which an engine reports that the request failed.
bool IsErrorEvent(const std::string& aData);

} // namespace masticstep::gateway
