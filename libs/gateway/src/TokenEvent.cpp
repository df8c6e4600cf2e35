#include "TokenEvent.hpp"

#include <boost/json.hpp>

#include <array>
#include <utility>

namespace masticstep::gateway {

namespace {

const boost::json::object* FirstChoice(const boost::json::object& aEvent)
{
  const boost::json::value* choices = aEvent.if_contains("choices");
  if (choices == nullptr || !choices->is_array() || choices->get_array().empty()) {
    return nullptr;
  }
  return choices->get_array().front().if_object();
}

std::string StringMember(const boost::json::object& aObject, const char* aKey)
{
  const boost::json::value* found = aObject.if_contains(aKey);
  return found != nullptr && found->is_string() ? std::string(found->get_string()) : std::string();
}

std::string ChoiceText(const boost::json::object& aChoice)
{
  const boost::json::value* delta = aChoice.if_contains("delta");
  if (delta != nullptr && delta->is_object()) {
    return StringMember(delta->get_object(), "content");
  }
  return StringMember(aChoice, "text");
}

} // namespace

std::optional<TokenEvent> TokenEvent::Parse(std::string_view aData)
{
  // Token events fit into the stack buffer, so parsing needs no heap allocations.
  std::array<unsigned char, 2048> memory; // NOLINT(cppcoreguidelines-pro-type-member-init)
  boost::json::monotonic_resource resource(memory.data(), memory.size());
  boost::system::error_code ec;
  const boost::json::value parsed =
    boost::json::parse(boost::json::string_view(aData.data(), aData.size()), ec, &resource);
  if (ec || !parsed.is_object()) {
    return std::nullopt;
  }
  const boost::json::object& event = parsed.get_object();
  const boost::json::value* offset = event.if_contains("offset");
  const boost::json::object* choice = FirstChoice(event);
  if (offset == nullptr || !offset->is_int64() || choice == nullptr) {
    return std::nullopt;
  }
  if (!std::in_range<std::uint32_t>(offset->get_int64())) {
    return std::nullopt;
  }
  TokenEvent token;
  token.id = StringMember(event, "id");
  token.offset = static_cast<std::uint32_t>(offset->get_int64());
  token.text = ChoiceText(*choice);
  token.finishReason = StringMember(*choice, "finish_reason");
  token.data = std::string(aData);
  return token;
}

bool IsErrorEvent(const std::string& aData)
{
  boost::system::error_code ec;
  const boost::json::value parsed = boost::json::parse(aData, ec);
  const boost::json::object* object = parsed.if_object();
  return object != nullptr && object->contains("error");
}

} // namespace masticstep::gateway
