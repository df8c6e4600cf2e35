// Fuzz target of the reader of the store's pages. Text that Boost.JSON reads must be split as it is
// read, and an item of any content must not cost the others of its page.

#include "JsonSplitter.hpp"
#include "StoreCodec.hpp"

#include <boost/json/parse.hpp>

#include <cstdlib>

namespace {

using namespace masticstep;
using namespace masticstep::adapter;

void Require(bool aHolds)
{
  if (!aHolds) {
    std::abort();
  }
}

void CheckSplit(const std::string& aText)
{
  boost::system::error_code ec;
  const boost::json::value value = boost::json::parse(aText, ec);
  if (ec) {
    return;
  }
  const std::optional<JsonMembers> members = SplitObject(aText);
  Require(members.has_value() == value.is_object());
  // Boost.JSON keeps one of several members of the same key.
  Require(!members || members->size() >= value.get_object().size());
  const std::optional<std::vector<std::string_view>> items = SplitArray(aText);
  Require(items.has_value() == value.is_array());
  Require(!items || items->size() == value.get_array().size());
}

platform::PlatformReply Decode(platform::PlatformCall aCall, std::string aBody)
{
  return StoreCodec().DecodeResponse({ 1, std::move(aCall) }, { 200, {}, std::move(aBody) });
}

void CheckPage(const std::string& aItem)
{
  const std::optional<std::vector<std::string_view>> items = SplitArray("[" + aItem + "]");
  if (!items || items->empty()) {
    return;
  }
  const std::string other = R"({"metadata":{"name":"other","revision":5},"specification":{}})";
  const std::string page =
    R"({"items":[)" + other + "," + aItem + "," + other + R"(],"more":false,"asOf":9})";
  const platform::PlatformReply reply = Decode(platform::ListRequest{ "servers/", {} }, page);
  Require(reply.status == platform::PlatformStatus::Done);
  Require(reply.items.size() + reply.unreadable == items->size() + 2);
  Require(reply.items.front().key.Text() == "servers/other");
  Require(reply.items.back().key.Text() == "servers/other");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  CheckSplit(text);
  CheckPage(text);
  Decode(platform::ListRequest{ "servers/", {} }, text);
  Decode(platform::WatchRequest{ "servers/", 1, Seconds(1) }, text);
  Decode(platform::ReadRequest{ platform::ObjectKey{ "config/main" } }, text);
  return 0;
}
