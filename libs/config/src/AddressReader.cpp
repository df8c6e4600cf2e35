#include "AddressReader.hpp"

namespace masticstep {

SocketAddress ReadAddress(ObjectReader& aReader, std::string_view aKey)
{
  const std::string text = aReader.RequiredString(aKey);
  if (text.empty()) {
    return {};
  }
  const std::optional<SocketAddress> address = ParseSocketAddress(text);
  if (!address.has_value()) {
    aReader.Report(aKey, "'" + text + "' is not an address", "IP:PORT, such as 127.0.0.1:8080");
    return {};
  }
  return *address;
}

HttpUrl ReadUrl(ObjectReader& aReader, std::string_view aKey)
{
  const std::string text = aReader.RequiredString(aKey);
  if (text.empty()) {
    return {};
  }
  const std::optional<HttpUrl> url = ParseHttpUrl(text);
  if (!url.has_value()) {
    aReader.Report(aKey, "'" + text + "' is not a URL", "http://IP:PORT[/path]");
    return {};
  }
  return *url;
}

Duration ReadMilliseconds(ObjectReader& aReader, std::string_view aKey, IntegerRange aRange,
                          Duration aDefault)
{
  const std::int64_t fallback = aDefault / Milliseconds(1);
  return Milliseconds(aReader.OptionalInteger(aKey, aRange, fallback));
}

} // namespace masticstep
