#include "ServiceSummary.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace masticstep::gateway {

namespace {

// Returns the text before the first separator, and removes both from the front.
std::string_view SplitField(std::string_view& aText, char aSeparator)
{
  const std::size_t end = std::min(aText.find(aSeparator), aText.size());
  const std::string_view part = aText.substr(0, end);
  aText.remove_prefix(std::min(end + 1, aText.size()));
  return part;
}

} // namespace

std::string Encode(const ServiceSummary& aSummary)
{
  std::string text = std::to_string(aSummary.usable);
  for (const std::uint32_t n :
       { aSummary.running, aSummary.waiting, aSummary.blocksUsed, aSummary.blocksTotal }) {
    text += ',';
    text += std::to_string(n);
  }
  for (const EngineId& engine : aSummary.unusable) {
    text += ';';
    text += engine.Text();
  }
  return text;
}

std::optional<ServiceSummary> DecodeServiceSummary(std::string_view aText)
{
  ServiceSummary summary;
  std::string_view numbers = SplitField(aText, ';');
  const std::array<std::uint32_t*, 5> fields = { &summary.usable, &summary.running,
                                                 &summary.waiting, &summary.blocksUsed,
                                                 &summary.blocksTotal };
  for (std::uint32_t* field : fields) {
    const std::string_view part = SplitField(numbers, ',');
    const char* end = part.data() + part.size();
    const std::from_chars_result read = std::from_chars(part.data(), end, *field);
    if (read.ec != std::errc() || read.ptr != end) {
      return std::nullopt;
    }
  }
  if (!numbers.empty()) {
    return std::nullopt;
  }
  while (!aText.empty()) {
    summary.unusable.insert(EngineId(std::string(SplitField(aText, ';'))));
  }
  return summary;
}

} // namespace masticstep::gateway
