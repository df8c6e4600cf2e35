#include "engine_standin/Stream.hpp"

#include "common/GeneratedText.hpp"

namespace masticstep::standins {

std::string Stream::TokenEvent(std::uint32_t aNumber) const
{
  const bool isLast = aNumber + 1 == maxTokens;
  boost::json::object choice{ { "index", 0 } };
  const std::string text = TokenText(promptHash, aNumber);
  if (isChat) {
    choice["delta"] = boost::json::object{ { "role", "assistant" }, { "content", text } };
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] = isLast ? boost::json::value("length") : boost::json::value(nullptr);
  const boost::json::value event{ { "id", id },
                                  { "offset", aNumber },
                                  { "choices", boost::json::array{ std::move(choice) } } };
  return "data: " + boost::json::serialize(event) + "\n\n";
}

std::string Stream::ErrorEvent() const
{
  const boost::json::value event{ { "id", id }, { "error", { { "type", error } } } };
  return "data: " + boost::json::serialize(event) + "\n\n";
}

boost::json::value Stream::CompletionBody() const
{
  std::string text;
  for (std::uint32_t i = 0; i < maxTokens; ++i) {
    text += TokenText(promptHash, i);
  }
  boost::json::object choice{ { "index", 0 }, { "finish_reason", "length" } };
  if (isChat) {
    choice["message"] = boost::json::object{ { "role", "assistant" }, { "content", text } };
  } else {
    choice["text"] = text;
  }
  return { { "id", id },
           { "choices", boost::json::array{ std::move(choice) } },
           { "usage", { { "prompt_tokens", promptTokens }, { "completion_tokens", maxTokens } } } };
}

} // namespace masticstep::standins
