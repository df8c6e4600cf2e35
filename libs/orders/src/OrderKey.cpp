#include "masticstep/orders/OrderKey.hpp"

#include <algorithm>
#include <cctype>
#include <chrono>

namespace masticstep::orders {

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kDatePrefixLength = 17; // of "YYYYMMDDTHHMMSSZ-"
constexpr std::size_t kMinimumSuffixLength = 8;
constexpr std::size_t kMaximumSuffixLength = 64;
constexpr std::int64_t kMaximumAgeMs = 24LL * 3600 * 1000;
constexpr std::int64_t kMaximumAheadMs = 10LL * 60 * 1000;
constexpr std::int64_t kBucketMs = 10 * 1000;

bool IsDigit(char aCharacter)
{
  return aCharacter >= '0' && aCharacter <= '9';
}

bool IsSuffixCharacter(char aCharacter)
{
  return IsDigit(aCharacter) || (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') || aCharacter == '.' || aCharacter == '_' ||
         aCharacter == '-';
}

std::optional<std::int64_t> HexValue(char aCharacter)
{
  if (IsDigit(aCharacter)) {
    return aCharacter - '0';
  }
  if (aCharacter >= 'a' && aCharacter <= 'f') {
    return aCharacter - 'a' + 10;
  }
  return std::nullopt;
}

std::int64_t ParseNumber(std::string_view aDigits)
{
  std::int64_t n = 0;
  for (const char digit : aDigits) {
    n = n * 10 + (digit - '0');
  }
  return n;
}

// Parses a UUIDv7 (RFC 9562): the first 48 bits are Unix milliseconds; the digits at index 14
// and 19 are the version and the variant.
std::optional<OrderKey> ParseUuid(std::string_view aText)
{
  if (aText.size() != kUuidLength) {
    return std::nullopt;
  }
  std::string text(aText);
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  std::int64_t date = 0;
  std::size_t digits = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (i == 8 || i == 13 || i == 18 || i == 23) {
      if (text[i] != '-') {
        return std::nullopt;
      }
      continue;
    }
    const std::optional<std::int64_t> value = HexValue(text[i]);
    if (!value) {
      return std::nullopt;
    }
    date = digits++ < 12 ? date * 16 + *value : date;
  }
  const bool isVariant = std::string_view("89ab").find(text[19]) != std::string_view::npos;
  if (text[14] != '7' || !isVariant) {
    return std::nullopt;
  }
  return OrderKey{ std::move(text), WallTime{ date } };
}

std::optional<OrderKey> ParseDated(std::string_view aText)
{
  if (aText.size() < kDatePrefixLength + kMinimumSuffixLength ||
      aText.size() > kDatePrefixLength + kMaximumSuffixLength) {
    return std::nullopt;
  }
  constexpr std::string_view kPattern = "ddddddddTddddddZ-";
  for (std::size_t i = 0; i < kPattern.size(); ++i) {
    if (kPattern[i] == 'd' ? !IsDigit(aText[i]) : aText[i] != kPattern[i]) {
      return std::nullopt;
    }
  }
  const std::string_view suffix = aText.substr(kDatePrefixLength);
  if (!std::all_of(suffix.begin(), suffix.end(), IsSuffixCharacter)) {
    return std::nullopt;
  }
  const std::chrono::year_month_day day{
    std::chrono::year(static_cast<int>(ParseNumber(aText.substr(0, 4)))),
    std::chrono::month(static_cast<unsigned>(ParseNumber(aText.substr(4, 2)))),
    std::chrono::day(static_cast<unsigned>(ParseNumber(aText.substr(6, 2))))
  };
  const std::int64_t hour = ParseNumber(aText.substr(9, 2));
  const std::int64_t minute = ParseNumber(aText.substr(11, 2));
  const std::int64_t second = ParseNumber(aText.substr(13, 2));
  if (!day.ok() || hour > 23 || minute > 59 || second > 59) {
    return std::nullopt;
  }
  const std::int64_t days = std::chrono::sys_days{ day }.time_since_epoch().count();
  const std::int64_t seconds = ((days * 24 + hour) * 60 + minute) * 60 + second;
  return OrderKey{ std::string(aText), WallTime{ seconds * 1000 } };
}

} // namespace

std::optional<OrderKey> ParseOrderKey(std::string_view aText)
{
  std::optional<OrderKey> key = ParseUuid(aText);
  if (!key) {
    key = ParseDated(aText);
  }
  // Bucket indices are unsigned, so dates before 1970 are rejected.
  return key && key->date.milliseconds >= 0 ? key : std::nullopt;
}

KeyAge AgeOf(const OrderKey& aKey, WallTime aNow)
{
  const std::int64_t age = aNow.milliseconds - aKey.date.milliseconds;
  if (age > kMaximumAgeMs) {
    return KeyAge::TooOld;
  }
  return age < -kMaximumAheadMs ? KeyAge::TooFarInFuture : KeyAge::Current;
}

std::uint64_t BucketOf(WallTime aDate)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(aDate.milliseconds, 0) / kBucketMs);
}

} // namespace masticstep::orders
