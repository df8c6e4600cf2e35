#include "HttpObjectCodec.hpp"

#include "masticstep/base/ObjectReader.hpp"
#include "masticstep/platform_client/PercentEncoding.hpp"

#include <charconv>
#include <utility>

namespace masticstep::platform_client {

using platform::PlatformReply;
using platform::PlatformRequest;
using platform::PlatformStatus;
using platform::Version;

namespace {

constexpr IntegerRange kCounterRange{ 0, INT64_MAX };

std::string FormatETag(Version aVersion)
{
  return "\"" + std::to_string(aVersion.value) + "\"";
}

std::optional<Version> ParseETag(std::string_view aText)
{
  if (aText.size() < 2 || aText.front() != '"' || aText.back() != '"') {
    return std::nullopt;
  }
  const std::string_view digits = aText.substr(1, aText.size() - 2);
  Version version;
  const std::from_chars_result result =
    std::from_chars(digits.data(), digits.data() + digits.size(), version.value);
  const bool isComplete = result.ec == std::errc() && result.ptr == digits.data() + digits.size();
  return isComplete ? std::optional<Version>(version) : std::nullopt;
}

PlatformStatus ToPlatformStatus(unsigned aStatus)
{
  switch (aStatus) {
    case 200:
      return PlatformStatus::Done;
    case 404:
      return PlatformStatus::NotFound;
    case 412:
      return PlatformStatus::Conflict;
    case 413:
      return PlatformStatus::TooLarge;
    case 400:
    case 429:
    case 503:
      return PlatformStatus::Refused;
    default:
      return PlatformStatus::Unknown;
  }
}

bool DecodeItems(const std::string& aBody, PlatformReply& aReply)
{
  Faults faults;
  const std::optional<boost::json::object> object = ParseObject(aBody, "platform", faults);
  if (!object) {
    return false;
  }
  ObjectReader reader(*object, "platform", "$", faults);
  aReply.revision = static_cast<std::uint64_t>(reader.RequiredInteger("revision", kCounterRange));
  for (ObjectReader& item : reader.ObjectList("items", true)) {
    const std::int64_t version = item.RequiredInteger("version", kCounterRange);
    aReply.items.push_back({ platform::ObjectKey{ item.RequiredString("key") },
                             Version{ static_cast<std::uint64_t>(version) },
                             item.OptionalBoolean("deleted", false) });
  }
  return faults.empty();
}

// Decodes a successful response into aReply. Returns false if it is malformed.
bool DecodeContent(const PlatformRequest& aRequest, const net::HttpResponse& aResponse,
                   PlatformReply& aReply)
{
  const bool isList = std::holds_alternative<platform::ListRequest>(aRequest.call) ||
                      std::holds_alternative<platform::WatchRequest>(aRequest.call);
  if (isList) {
    return DecodeItems(aResponse.body, aReply);
  }
  if (std::holds_alternative<platform::ConditionalDelete>(aRequest.call)) {
    return true;
  }
  aReply.version = ParseETag(net::FindHeader(aResponse.headers, "ETag"));
  if (std::holds_alternative<platform::ReadRequest>(aRequest.call)) {
    aReply.body = aResponse.body;
  }
  return aReply.version.has_value();
}

} // namespace

HttpObjectCodec::HttpObjectCodec(std::string aPath)
  : mPath(std::move(aPath))
{
}

net::HttpRequest HttpObjectCodec::EncodeRequest(const PlatformRequest& aRequest) const
{
  net::HttpRequest request;
  const auto object = [this](const platform::ObjectKey& aKey) {
    return mPath + "/objects/" + PercentEncode(aKey.Text());
  };
  if (const auto* read = std::get_if<platform::ReadRequest>(&aRequest.call)) {
    request.target = object(read->key);
  } else if (const auto* write = std::get_if<platform::ConditionalWrite>(&aRequest.call)) {
    request.method = "PUT";
    request.target = object(write->key);
    request.body = write->body;
    request.headers.push_back(write->expected
                                ? net::HttpHeader{ "If-Match", FormatETag(*write->expected) }
                                : net::HttpHeader{ "If-None-Match", "*" });
  } else if (const auto* remove = std::get_if<platform::ConditionalDelete>(&aRequest.call)) {
    request.method = "DELETE";
    request.target = object(remove->key);
    request.headers.push_back({ "If-Match", FormatETag(remove->expected) });
  } else if (const auto* list = std::get_if<platform::ListRequest>(&aRequest.call)) {
    request.target = mPath + "/objects?prefix=" + PercentEncode(list->prefix);
  } else {
    const auto& watch = std::get<platform::WatchRequest>(aRequest.call);
    request.target = mPath + "/watch?prefix=" + PercentEncode(watch.prefix) +
                     "&after=" + std::to_string(watch.afterRevision) +
                     "&timeout_ms=" + std::to_string(watch.timeout / Milliseconds(1));
  }
  return request;
}

PlatformReply HttpObjectCodec::DecodeResponse(const PlatformRequest& aRequest,
                                              const net::HttpResponse& aResponse) const
{
  PlatformReply reply;
  reply.number = aRequest.number;
  reply.status = ToPlatformStatus(aResponse.status);
  if (reply.status == PlatformStatus::Done && !DecodeContent(aRequest, aResponse, reply)) {
    return { aRequest.number, PlatformStatus::Unknown, {}, {}, 0, {}, false };
  }
  return reply;
}

} // namespace masticstep::platform_client
