#pragma once

#include "common/Signal.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <string>

namespace masticstep::standins {

// Generated text of one request. Outlives the connection of the request, so that a client can
// resume the stream at an offset.
struct Stream
{
  std::string id;
  std::uint64_t promptHash = 0;
  std::uint32_t promptTokens = 0;
  std::uint32_t maxTokens = 0;
  bool isChat = false;
  std::uint32_t visible = 0; // tokens that have been generated and may be sent
  std::string error;         // error type; not empty if the stream ended early
  std::size_t readers = 0;
  Time lastUse;
  Signal changed;

  bool IsComplete() const { return visible >= maxTokens; }
  bool HasEnded() const { return IsComplete() || !error.empty(); }
  // Returns the server-sent event for one token.
  std::string TokenEvent(std::uint32_t aNumber) const;
  std::string ErrorEvent() const;
  // Returns the body of a response that is not streamed.
  boost::json::value CompletionBody() const;
};

} // namespace masticstep::standins
