#pragma once

#include "masticstep/orders/WallTime.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace masticstep::orders {

// Idempotency key of a caller with the date that it contains.
struct OrderKey
{
  std::string text;
  WallTime date;

  auto operator<=>(const OrderKey&) const = default;
};

enum class KeyAge
{
  Current,
  TooOld,        // its record may have been dropped
  TooFarInFuture // the clock of the caller or of this host is wrong
};

// Parses a UUID of version 7, or YYYYMMDDTHHMMSSZ- followed by 8 to 64 characters from A-Z, a-z,
// 0-9,
// '.', '_' and '-'. Returns nothing for any other text. A UUID is lowered, so that both spellings
// of one key are one key.
std::optional<OrderKey> ParseOrderKey(std::string_view aText);

// A key is current from 24 h ago until 10 min ahead.
KeyAge AgeOf(const OrderKey& aKey, WallTime aNow);

// Number of the 10 s bucket that holds the records of keys with this date.
std::uint64_t BucketOf(WallTime aDate);

} // namespace masticstep::orders
