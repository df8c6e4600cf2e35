#include "common/EventReader.hpp"

#include "common/JsonFields.hpp"

namespace masticstep::standins {

void EventReader::Read(std::string_view aBody, Time aNow, const TokenObserver& aObserver)
{
  std::size_t end = aBody.find('\n', mParsedBytes);
  while (end != std::string_view::npos) {
    const std::uint32_t before = mResult->tokens;
    std::string_view line = aBody.substr(mParsedBytes, end - mParsedBytes);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    ParseLine(line, aNow);
    if (aObserver && mResult->tokens != before) {
      aObserver(mResult->tokens);
    }
    mParsedBytes = end + 1;
    end = aBody.find('\n', mParsedBytes);
  }
}

void EventReader::ParseLine(std::string_view aLine, Time aNow)
{
  constexpr std::string_view kData = "data: ";
  if (!aLine.starts_with(kData)) {
    return;
  }
  const std::string_view data = aLine.substr(kData.size());
  if (data == "[DONE]") {
    mResult->isComplete = mResult->error.empty();
    return;
  }
  ErrorCode ec;
  const boost::json::value event = boost::json::parse({ data.data(), data.size() }, ec);
  if (ec || !event.is_object()) {
    mResult->error = "event is not a JSON object: " + std::string(data);
  } else if (event.get_object().contains("error")) {
    mResult->error = std::string(data);
  } else {
    ParseChoice(event.get_object(), aNow);
  }
}

void EventReader::ParseChoice(const boost::json::object& aEvent, Time aNow)
{
  const boost::json::value* choices = aEvent.if_contains("choices");
  const bool hasChoice = choices != nullptr && choices->is_array() &&
                         !choices->get_array().empty() && choices->get_array()[0].is_object();
  if (!hasChoice) {
    return;
  }
  const boost::json::object& choice = choices->get_array()[0].get_object();
  const boost::json::value* delta = choice.if_contains("delta");
  const bool isChat = delta != nullptr && delta->is_object();
  mResult->text +=
    isChat ? StringField(delta->get_object(), "content") : StringField(choice, "text");
  mResult->hasGap =
    mResult->hasGap || IntegerField(aEvent, "offset", mResult->tokens) != mResult->tokens;
  if (mResult->tokens == 0) {
    mResult->firstToken = aNow;
  } else {
    mResult->gaps.push_back(aNow - mLastToken);
  }
  mLastToken = aNow;
  ++mResult->tokens;
}

} // namespace masticstep::standins
