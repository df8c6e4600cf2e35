#pragma once

#include "masticstep/base/Result.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <string>

namespace masticstep::standins {

// Parsed body of a completion request.
struct CompletionRequest
{
  std::string id; // empty if the client sent none
  std::string model;
  std::string prompt;
  std::uint32_t maxTokens = 0;
  std::int64_t priority = 0;
  bool isChat = false;
  bool isStreamed = false;
};

// Returns an error message if the body is invalid. The prompt of a chat request is the concatenated
// JSON text of its messages.
Result<CompletionRequest, std::string> ParseCompletionRequest(const boost::json::object& aBody,
                                                              bool aIsChat);

} // namespace masticstep::standins
