#pragma once

#include "common/Signal.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <string>

namespace masticstep::standins {

// Generated text of one request. Outlives the connection that asked for it, so that a reader can
// resume it at an offset.
struct Stream
{
  std::string id;
  std::uint64_t promptHash = 0;
  std::uint32_t promptTokens = 0;
  std::uint32_t maxTokens = 0;
  bool isChat = false;
  std::uint32_t visible = 0; // tokens that readers may have
  std::string error;         // not empty once the stream has ended early
  std::size_t readers = 0;
  Time lastUse;
  Signal changed;

  bool IsComplete() const { return visible >= maxTokens; }
  bool HasEnded() const { return IsComplete() || !error.empty(); }
  // Returns the server-sent event of one token.
  std::string TokenEvent(std::uint32_t aNumber) const;
  std::string ErrorEvent() const;
  // Returns the body of an answer that is sent whole.
  boost::json::value WholeAnswer() const;
};

} // namespace masticstep::standins
