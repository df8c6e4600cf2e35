#include "masticstep/orders/OrderKey.hpp"

#include <algorithm>
#include <cctype>
#include <chrono>

namespace masticstep::orders {

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kDateLength = 17; // of "YYYYMMDDTHHMMSSZ-"
constexpr std::size_t kMinimumSuffix = 8;
constexpr std::size_t kMaximumSuffix = 64;
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

std::int64_t Number(std::string_view aDigits)
{
  std::int64_t n = 0;
  for (const char digit : aDigits) {
    n = n * 10 + (digit - '0');
  }
  return n;
}

// RFC 9562: the first 48 bits are milliseconds since 1970, digit 15 is the version.
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
  if (aText.size() < kDateLength + kMinimumSuffix || aText.size() > kDateLength + kMaximumSuffix) {
    return std::nullopt;
  }
  constexpr std::string_view kForm = "ddddddddTddddddZ-";
  for (std::size_t i = 0; i < kForm.size(); ++i) {
    if (kForm[i] == 'd' ? !IsDigit(aText[i]) : aText[i] != kForm[i]) {
      return std::nullopt;
    }
  }
  const std::string_view suffix = aText.substr(kDateLength);
  if (!std::all_of(suffix.begin(), suffix.end(), IsSuffixCharacter)) {
    return std::nullopt;
  }
  const std::chrono::year_month_day day{
    std::chrono::year(static_cast<int>(Number(aText.substr(0, 4)))),
    std::chrono::month(static_cast<unsigned>(Number(aText.substr(4, 2)))),
    std::chrono::day(static_cast<unsigned>(Number(aText.substr(6, 2))))
  };
  const std::int64_t hour = Number(aText.substr(9, 2));
  const std::int64_t minute = Number(aText.substr(11, 2));
  const std::int64_t second = Number(aText.substr(13, 2));
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
  // Bucket numbers are not negative; no caller was ahead of 1970.
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
