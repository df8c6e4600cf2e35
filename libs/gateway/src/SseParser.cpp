#include "SseParser.hpp"

#include <utility>

namespace masticstep::gateway {

namespace {

// A token event takes a few hundred bytes; the limit only bounds memory use.
constexpr std::size_t kMaximumEventBytes = 1048576;

} // namespace

void SseParser::Feed(std::string_view aBytes)
{
  if (mStart > 0) {
    mBuffer.erase(0, mStart);
    mStart = 0;
  }
  mBuffer += aBytes;
}

std::optional<std::string_view> SseParser::NextLine()
{
  const std::size_t end = mBuffer.find('\n', mStart);
  if (end == std::string::npos) {
    mIsOverlong = mBuffer.size() - mStart + mData.size() > kMaximumEventBytes;
    return std::nullopt;
  }
  std::string_view line(mBuffer.data() + mStart, end - mStart);
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  mStart = end + 1;
  return line;
}

std::optional<std::string> SseParser::Next()
{
  constexpr std::string_view kDataField = "data:";
  while (const std::optional<std::string_view> line = NextLine()) {
    if (line->empty()) {
      if (!mHasData) {
        continue;
      }
      mHasData = false;
      return std::exchange(mData, std::string());
    }
    if (!line->starts_with(kDataField)) {
      continue;
    }
    std::string_view value = line->substr(kDataField.size());
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
    if (mHasData) {
      mData += '\n';
    }
    mData += value;
    mHasData = true;
    if (mData.size() > kMaximumEventBytes) {
      mIsOverlong = true;
      return std::nullopt;
    }
  }
  return std::nullopt;
}

} // namespace masticstep::gateway
