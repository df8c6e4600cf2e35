#include "StoredOrigins.hpp"

#include "masticstep/base/ObjectReader.hpp"

#include <charconv>
#include <optional>
#include <string_view>

namespace masticstep::relay {

using dispatch::ServiceVersion;
using dispatch::StreamGroup;

namespace {

constexpr int kHexadecimal = 16;
constexpr std::size_t kDigitsOfStream = 16;
constexpr IntegerRange kIdleMilliseconds{ 0, 3600000 };

void AppendHex(std::string& aText, std::uint64_t aStream)
{
  char digits[kDigitsOfStream];
  const std::to_chars_result end =
    std::to_chars(digits, digits + kDigitsOfStream, aStream, kHexadecimal);
  const std::size_t count = static_cast<std::size_t>(end.ptr - digits);
  aText.append(kDigitsOfStream - count, '0');
  aText.append(digits, count);
}

// Returns nullopt unless the text consists of whole streams.
std::optional<std::vector<std::uint64_t>> ParseStreams(std::string_view aText)
{
  if (aText.size() % kDigitsOfStream != 0) {
    return std::nullopt;
  }
  std::vector<std::uint64_t> streams;
  streams.reserve(aText.size() / kDigitsOfStream);
  for (std::size_t at = 0; at < aText.size(); at += kDigitsOfStream) {
    const char* begin = aText.data() + at;
    std::uint64_t stream = 0;
    const std::from_chars_result result =
      std::from_chars(begin, begin + kDigitsOfStream, stream, kHexadecimal);
    if (result.ec != std::errc() || result.ptr != begin + kDigitsOfStream) {
      return std::nullopt;
    }
    streams.push_back(stream);
  }
  return streams;
}

StreamGroup ReadGroup(ObjectReader& aReader)
{
  StreamGroup group{ ServiceName{ aReader.RequiredString("service") },
                     SoftwareVersion{ aReader.RequiredString("version") },
                     {} };
  std::optional<std::vector<std::uint64_t>> streams =
    ParseStreams(aReader.RequiredString("streams"));
  if (!streams) {
    aReader.Report("streams", "is no list of streams", "16 hexadecimal digits each");
    return group;
  }
  group.streams = std::move(*streams);
  return group;
}

ServiceVersion ReadVersion(ObjectReader& aReader)
{
  return { ServiceName{ aReader.RequiredString("service") },
           SoftwareVersion{ aReader.RequiredString("version") },
           Milliseconds(aReader.RequiredInteger("idle_ms", kIdleMilliseconds)) };
}

} // namespace

std::string EncodeStoredOrigins(const StoredOrigins& aOrigins, std::uint64_t aSequence)
{
  boost::json::array groups;
  for (const StreamGroup& group : aOrigins.groups) {
    std::string streams;
    streams.reserve(group.streams.size() * kDigitsOfStream);
    for (const std::uint64_t stream : group.streams) {
      AppendHex(streams, stream);
    }
    groups.push_back(boost::json::object{ { "service", group.service.Text() },
                                          { "version", group.version.Text() },
                                          { "streams", streams } });
  }
  boost::json::array versions;
  for (const ServiceVersion& version : aOrigins.versions) {
    versions.push_back(boost::json::object{ { "service", version.service.Text() },
                                            { "version", version.version.Text() },
                                            { "idle_ms", version.idle / Milliseconds(1) } });
  }
  return boost::json::serialize(boost::json::object{
    { "sequence", aSequence }, { "groups", groups }, { "versions", versions } });
}

Result<StoredOrigins, std::string> DecodeStoredOrigins(const std::string& aBody)
{
  Faults faults;
  StoredOrigins origins;
  const std::optional<boost::json::object> object = ParseObject(aBody, "stream origins", faults);
  if (object) {
    ObjectReader reader(*object, "stream origins", "$", faults);
    for (ObjectReader& group : reader.ObjectList("groups", true)) {
      origins.groups.push_back(ReadGroup(group));
    }
    for (ObjectReader& version : reader.ObjectList("versions", true)) {
      origins.versions.push_back(ReadVersion(version));
    }
  }
  if (!faults.empty()) {
    return Failure(faults.front().path + ": " + faults.front().problem);
  }
  return origins;
}

} // namespace masticstep::relay
