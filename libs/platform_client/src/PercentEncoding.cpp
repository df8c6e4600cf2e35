#include "masticstep/platform_client/PercentEncoding.hpp"

namespace masticstep::platform_client {

std::string PercentEncode(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr std::string_view kUnescapedPunctuation = "/-._~";
  std::string text;
  for (const char item : aText) {
    const bool isLetter = (item >= 'a' && item <= 'z') || (item >= 'A' && item <= 'Z');
    const bool isDigit = item >= '0' && item <= '9';
    if (isLetter || isDigit || kUnescapedPunctuation.find(item) != std::string_view::npos) {
      text += item;
      continue;
    }
    text += '%';
    text += kDigits[static_cast<unsigned char>(item) >> 4U];
    text += kDigits[static_cast<unsigned char>(item) & 15U];
  }
  return text;
}

} // namespace masticstep::platform_client
