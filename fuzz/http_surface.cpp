// Fuzz target of what the gateway parses from callers and engines: request bodies, paths and
// events.

#include "CompletionRequest.hpp"
#include "PlainPath.hpp"
#include "SseParser.hpp"
#include "TokenEvent.hpp"

#include <boost/json.hpp>

#include <cstdlib>

namespace {

using namespace masticstep;
using namespace masticstep::gateway;

void Require(bool aCondition)
{
  if (!aCondition) {
    std::abort();
  }
}

// The engine must get the model, the prompt and the limit that were admitted.
void CheckCall(std::string_view aText, bool aIsChat)
{
  const Result<CompletionRequest, Refusal> call = CompletionRequest::Parse(aText, aIsChat);
  if (!call) {
    return;
  }
  const Result<CompletionRequest, Refusal> sent =
    CompletionRequest::Parse(call->EngineRequestBody("request", 1), aIsChat);
  Require(sent.has_value());
  Require(sent->model == call->model && sent->maxTokens == call->maxTokens);
  Require(sent->promptTokens == call->promptTokens && sent->prefixHashes == call->prefixHashes);
}

std::vector<std::string> EventsOf(std::string_view aText, std::size_t aPiece)
{
  SseParser parser;
  std::vector<std::string> events;
  for (std::size_t i = 0; i < aText.size(); i += aPiece) {
    parser.Feed(aText.substr(i, aPiece));
    while (std::optional<std::string> event = parser.Next()) {
      events.push_back(std::move(*event));
    }
  }
  return events;
}

void CheckToken(const std::string& aData)
{
  IsErrorEvent(aData);
  const std::optional<TokenEvent> token = TokenEvent::Parse(aData);
  if (!token) {
    return;
  }
  Require(token->data == aData);
  // A cut offset would make a resumed stream repeat or skip tokens.
  const boost::json::value offset = boost::json::parse(aData).at("offset");
  Require(offset.to_number<std::int64_t>() == static_cast<std::int64_t>(token->offset));
}

void CheckPath(std::string_view aText)
{
  const Result<PlainPath, Refusal> path = PlainPath::Parse(aText);
  if (!path) {
    return;
  }
  Require(path->path.starts_with('/') && path->target.starts_with(path->path));
  Require((path->path + "/").find("/../") == std::string::npos);
  Require(path->path.find("//") == std::string::npos);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  CheckCall(text, false);
  CheckCall(text, true);
  const std::vector<std::string> events = EventsOf(text, text.size() + 1);
  Require(events == EventsOf(text, 1) && events == EventsOf(text, 7));
  for (const std::string& event : events) {
    CheckToken(event);
  }
  CheckToken(text);
  CheckPath(text);
  return 0;
}
