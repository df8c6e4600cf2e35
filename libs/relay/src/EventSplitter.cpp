#include "EventSplitter.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace masticstep::relay {

namespace {

// Length of the longest terminator of an event but one byte: it may be split between two reads.
constexpr std::size_t kTerminatorOverlap = 2;

// Returns the length of the first event including its terminating empty line, or 0 if the event is
// incomplete. Lines end with LF or CR LF. The search for the terminator begins at aFrom.
std::size_t EventLength(std::string_view aBytes, std::size_t aFrom)
{
  constexpr std::string_view kEmptyLine = "\n";
  constexpr std::string_view kEmptyLineWithReturn = "\r\n";
  std::size_t end = aBytes.find('\n', aFrom);
  while (end != std::string_view::npos) {
    const std::string_view next = aBytes.substr(end + 1);
    if (next.starts_with(kEmptyLine)) {
      return end + 1 + kEmptyLine.size();
    }
    if (next.starts_with(kEmptyLineWithReturn)) {
      return end + 1 + kEmptyLineWithReturn.size();
    }
    end = aBytes.find('\n', end + 1);
  }
  return 0;
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

bool IsFieldOrComment(std::string_view aLine)
{
  constexpr std::array<std::string_view, 4> kFields{ "id", "event", "data", "retry" };
  const std::string_view name = aLine.substr(0, aLine.find(':'));
  return name.empty() || std::find(kFields.begin(), kFields.end(), name) != kFields.end();
}

bool IsWellFormed(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    const std::size_t end = aEvent.find('\n');
    std::string_view line = aEvent.substr(0, end);
    aEvent.remove_prefix(line.size() + 1);
    line.remove_suffix(line.ends_with('\r') ? 1 : 0);
    if (!IsFieldOrComment(line)) {
      return false;
    }
  }
  return true;
}

bool HasData(std::string_view aEvent)
{
  return aEvent.starts_with("data:") || aEvent.find("\ndata:") != std::string_view::npos;
}

} // namespace

std::optional<StreamEvent> EventSplitter::Next()
{
  const std::string_view rest = std::string_view(mBytes).substr(mReadPosition);
  const std::size_t length = EventLength(rest, mSearchOffset);
  if (length == 0) {
    mSearchOffset = std::max(rest.size(), kTerminatorOverlap) - kTerminatorOverlap;
    if (mReadPosition > 0) {
      mBytes.erase(0, mReadPosition);
      mReadPosition = 0;
      if (mBytes.capacity() > kKeptBytes) {
        mBytes.shrink_to_fit();
      }
    }
    return std::nullopt;
  }
  const std::string_view text = rest.substr(0, length);
  StreamEvent event{ std::string(text), EventId(text), HasData(text), IsWellFormed(text) };
  mReadPosition += length;
  mSearchOffset = 0;
  return event;
}

} // namespace masticstep::relay
