#pragma once

#include "masticstep/orders/WallTime.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace masticstep::orders {

// Idempotency key with the timestamp that is embedded in it.
struct OrderKey
{
  std::string text;
  WallTime date;

  auto operator<=>(const OrderKey&) const = default;
};

enum class KeyAge
{
  Current,
  TooOld,        // the retention period of its record may have ended
  TooFarInFuture // the clock of the caller or of this host is wrong
};

// Parses a UUIDv7, or YYYYMMDDTHHMMSSZ- followed by 8 to 64 characters from A-Z, a-z, 0-9, '.', '_'
// and '-'. Returns nullopt for any other text. UUIDs are converted to lower case so that spellings
// that differ only in case map to the same key.
std::optional<OrderKey> ParseOrderKey(std::string_view aText);

// Keys dated from 24 h before to 10 min after aNow, both inclusive, are current.
KeyAge AgeOf(const OrderKey& aKey, WallTime aNow);

// Returns the index of the 10 s bucket that stores the records of keys with this date.
std::uint64_t BucketOf(WallTime aDate);

} // namespace masticstep::orders
