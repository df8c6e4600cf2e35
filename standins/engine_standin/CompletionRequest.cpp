#include "engine_standin/CompletionRequest.hpp"

#include "common/JsonFields.hpp"

namespace masticstep::standins {

namespace {

constexpr std::int64_t kMaxCompletionTokens = 32768;
constexpr std::int64_t kDefaultCompletionTokens = 16;

std::string PromptFromMessages(const boost::json::object& aBody)
{
  std::string prompt;
  const boost::json::value* messages = aBody.if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return prompt;
  }
  for (const boost::json::value& message : messages->get_array()) {
    prompt += boost::json::serialize(message);
  }
  return prompt;
}

std::string RequestIdOf(const boost::json::object& aBody)
{
  const boost::json::value* id = aBody.if_contains("request_id");
  if (id == nullptr || id->is_null()) {
    return {};
  }
  return id->is_string() ? std::string(id->get_string()) : boost::json::serialize(*id);
}

} // namespace

Result<CompletionRequest, std::string> ParseCompletionRequest(const boost::json::object& aBody,
                                                              bool aIsChat)
{
  CompletionRequest request;
  request.id = RequestIdOf(aBody);
  request.model = StringField(aBody, "model");
  request.prompt = aIsChat ? PromptFromMessages(aBody) : StringField(aBody, "prompt");
  request.isChat = aIsChat;
  request.isStreamed = BooleanField(aBody, "stream", false);
  request.priority = IntegerField(aBody, "priority", 0);
  const std::int64_t tokens = IntegerField(aBody, "max_tokens", kDefaultCompletionTokens);
  if (request.prompt.empty()) {
    return Failure(std::string(aIsChat ? "messages" : "prompt") + " is missing or empty");
  }
  if (tokens < 1 || tokens > kMaxCompletionTokens) {
    return Failure("max_tokens must be from 1 to " + std::to_string(kMaxCompletionTokens));
  }
  request.maxTokens = static_cast<std::uint32_t>(tokens);
  return request;
}

} // namespace masticstep::standins
