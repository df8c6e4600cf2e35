#include "EventSplitter.hpp"

#include <charconv>

namespace masticstep::relay {

namespace {

// Returns the length of the first event including its terminating empty line, or 0 if the event is
// incomplete. Lines end with LF or CR LF.
std::size_t EventLength(std::string_view aBytes)
{
  const std::size_t lf = aBytes.find("\n\n");
  const std::size_t crlf = aBytes.find("\n\r\n");
  if (lf == std::string_view::npos && crlf == std::string_view::npos) {
    return 0;
  }
  return lf < crlf ? lf + 2 : crlf + 3;
}

std::optional<std::uint64_t> ParseIdLine(std::string_view aLine)
{
  constexpr std::string_view kField = "id:";
  if (!aLine.starts_with(kField)) {
    return std::nullopt;
  }
  aLine.remove_prefix(kField.size());
  if (aLine.starts_with(' ')) {
    aLine.remove_prefix(1);
  }
  std::uint64_t id = 0;
  const std::from_chars_result result =
    std::from_chars(aLine.data(), aLine.data() + aLine.size(), id);
  return result.ec == std::errc() ? std::optional<std::uint64_t>(id) : std::nullopt;
}

std::optional<std::uint64_t> EventId(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    const std::size_t end = aEvent.find('\n');
    const std::optional<std::uint64_t> id = ParseIdLine(aEvent.substr(0, end));
    if (id || end == std::string_view::npos) {
      return id;
    }
    aEvent.remove_prefix(end + 1);
  }
  return std::nullopt;
}

} // namespace

std::optional<StreamEvent> EventSplitter::Next()
{
  const std::string_view rest = std::string_view(mBytes).substr(mReadPosition);
  const std::size_t length = EventLength(rest);
  if (length == 0) {
    mBytes.erase(0, mReadPosition);
    mReadPosition = 0;
    return std::nullopt;
  }
  StreamEvent event{ std::string(rest.substr(0, length)), EventId(rest.substr(0, length)) };
  mReadPosition += length;
  return event;
}

} // namespace masticstep::relay
