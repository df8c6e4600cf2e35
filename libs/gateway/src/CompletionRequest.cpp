#include "CompletionRequest.hpp"

#include "masticstep/base/Hash.hpp"
#include "masticstep/base/ObjectReader.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::gateway {

namespace {

// English text averages about four bytes per token; routing corrects the estimate with load
// reports.
constexpr std::size_t kBytesPerToken = 4;
constexpr std::uint32_t kDefaultMaxTokens = 256;
constexpr std::int64_t kMaxTokensLimit = 131072;
// One hash covers 16 blocks of 16 tokens, so that long prompts need few hashes.
constexpr std::size_t kPromptBytesPerPrefixHash = 1024;
constexpr std::size_t kMaximumPrefixHashes = 64;

std::vector<std::uint64_t> PrefixHashes(std::string_view aPrompt)
{
  std::vector<std::uint64_t> hashes;
  std::uint64_t seed = 0;
  const std::size_t n = std::min(aPrompt.size() / kPromptBytesPerPrefixHash, kMaximumPrefixHashes);
  for (std::size_t i = 0; i < n; ++i) {
    seed = Hash64(aPrompt.substr(i * kPromptBytesPerPrefixHash, kPromptBytesPerPrefixHash), seed);
    hashes.push_back(seed);
  }
  return hashes;
}

// Returns the serialized messages in order, which determine the prefix that the engine can cache.
Result<std::string, Refusal> MessagesText(const boost::json::object& aBody)
{
  const boost::json::value* found = aBody.if_contains("messages");
  if (found == nullptr || !found->is_array() || found->get_array().empty()) {
    return Failure(BadInput("$.messages: missing or not a non-empty array"));
  }
  std::string text;
  for (const boost::json::value& message : found->get_array()) {
    if (!message.is_object()) {
      return Failure(BadInput("$.messages: an item is not an object"));
    }
    text += boost::json::serialize(message);
  }
  return text;
}

Result<std::string, Refusal> PromptText(const boost::json::object& aBody)
{
  const boost::json::value* found = aBody.if_contains("prompt");
  if (found == nullptr || !found->is_string()) {
    return Failure(BadInput("$.prompt: missing or not a string"));
  }
  return std::string(found->get_string());
}

} // namespace

Result<CompletionRequest, Refusal> CompletionRequest::Parse(std::string_view aBody, bool aIsChat)
{
  Faults faults;
  std::optional<boost::json::object> body = ParseObject(aBody, "body", faults);
  if (!body) {
    return Failure(BadInput(ToString(faults.front())));
  }
  ObjectReader reader(*body, "body", "$", faults);
  CompletionRequest request;
  request.isChat = aIsChat;
  request.model = ModelName(reader.RequiredString("model"));
  request.isStreaming = reader.OptionalBoolean("stream", false);
  request.maxTokens = static_cast<std::uint32_t>(
    reader.OptionalInteger("max_tokens", { 1, kMaxTokensLimit }, kDefaultMaxTokens));
  reader.OptionalInteger("n", { 1, 1 }, 1);
  if (!faults.empty()) {
    return Failure(BadInput(ToString(faults.front())));
  }
  const Result<std::string, Refusal> text = aIsChat ? MessagesText(*body) : PromptText(*body);
  if (!text) {
    return Failure(text.error());
  }
  request.promptTokens = static_cast<std::uint32_t>(text->size() / kBytesPerToken + 1);
  request.prefixHashes = PrefixHashes(*text);
  request.body = std::move(*body);
  return request;
}

std::string CompletionRequest::EngineRequestBody(const std::string& aRequestId,
                                                 std::uint8_t aPriority) const
{
  boost::json::object text = body;
  text["stream"] = true;
  text["max_tokens"] = maxTokens;
  text["priority"] = aPriority;
  text["request_id"] = aRequestId;
  return boost::json::serialize(text);
}

} // namespace masticstep::gateway
