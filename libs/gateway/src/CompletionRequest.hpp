#pragma once

#include "Refusal.hpp"
#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Result.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticstep::gateway {

// Validated body of POST /v1/completions or /v1/chat/completions.
struct CompletionRequest
{
  ModelName model;
  bool isChat = false;
  bool isStreaming = false;
  std::uint32_t promptTokens = 0; // estimate
  std::uint32_t maxTokens = 0;
  std::vector<std::uint64_t> prefixHashes;
  boost::json::object body; // as sent by the caller

  static Result<CompletionRequest, Refusal> Parse(std::string_view aBody, bool aIsChat);
  // Returns the request body to send to the engine.
  std::string EngineRequestBody(const std::string& aRequestId, std::uint8_t aPriority) const;
};

} // namespace masticstep::gateway
