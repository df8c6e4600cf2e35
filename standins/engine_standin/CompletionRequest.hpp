#pragma once

#include "masticstep/base/Result.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <string>

namespace masticstep::standins {

// Body of a completion call.
struct CompletionRequest
{
  std::string id; // empty if the caller gave none
  std::string model;
  std::string prompt;
  std::uint32_t maxTokens = 0;
  std::int64_t priority = 0;
  bool isChat = false;
  bool isStreamed = false;
};

// The error says what is wrong with the body. The prompt of a chat is the JSON text of its
// messages, one after the other.
Result<CompletionRequest, std::string> ReadCompletion(const boost::json::object& aBody,
                                                      bool aIsChat);

} // namespace masticstep::standins
