#include "masticstep/spread/EngineLoadValue.hpp"

#include <cstdlib>
#include <limits>

namespace masticstep {

namespace {

constexpr unsigned kGroupBits = 7;
constexpr unsigned char kMoreFollows = 0x80;

void Put(std::string& aOut, std::uint64_t aValue)
{
  while (aValue >= kMoreFollows) {
    aOut += static_cast<char>((aValue & 0x7fU) | kMoreFollows);
    aValue >>= kGroupBits;
  }
  aOut += static_cast<char>(aValue);
}

// Takes one number from the front. Returns false if there is none or it does not fit.
template <class Integer>
bool Take(std::string_view& aIn, Integer& aValue)
{
  std::uint64_t value = 0;
  for (unsigned shift = 0; shift < std::numeric_limits<std::uint32_t>::digits;
       shift += kGroupBits) {
    if (aIn.empty()) {
      return false;
    }
    const unsigned char group = static_cast<unsigned char>(aIn.front());
    aIn.remove_prefix(1);
    value |= static_cast<std::uint64_t>(group & 0x7fU) << shift;
    if (group < kMoreFollows) {
      aValue = static_cast<Integer>(value);
      return value <= std::numeric_limits<Integer>::max();
    }
  }
  return false;
}

} // namespace

std::string Encode(const EngineLoadValue& aValue)
{
  std::string bytes;
  Put(bytes, aValue.sequence);
  Put(bytes, aValue.ageMs);
  Put(bytes, aValue.running);
  Put(bytes, aValue.waiting);
  Put(bytes, aValue.kvBlocksUsed);
  Put(bytes, aValue.kvBlocksTotal);
  Put(bytes, aValue.role);
  Put(bytes, aValue.state);
  return bytes;
}

std::optional<EngineLoadValue> DecodeEngineLoad(std::string_view aBytes)
{
  EngineLoadValue value;
  const bool isRead = Take(aBytes, value.sequence) && Take(aBytes, value.ageMs) &&
                      Take(aBytes, value.running) && Take(aBytes, value.waiting) &&
                      Take(aBytes, value.kvBlocksUsed) && Take(aBytes, value.kvBlocksTotal) &&
                      Take(aBytes, value.role) && Take(aBytes, value.state);
  return isRead && aBytes.empty() ? std::optional<EngineLoadValue>(value) : std::nullopt;
}

bool ShouldPublishLoad(const EngineLoadValue& aPublished, const EngineLoadValue& aPolled,
                       Duration aSincePublished)
{
  // Below an eighth of the memory, routing decisions rarely change: each daemon adds its own work
  // at once.
  constexpr int kLargeShare = 8;
  // Polls come each second; half of that allows for their jitter.
  constexpr Duration kPollSlack = Milliseconds(500);
  const int difference = std::abs(aPolled.kvBlocksUsed - aPublished.kvBlocksUsed);
  const bool hasQueueChanged = (aPolled.waiting == 0) != (aPublished.waiting == 0);
  const bool hasOtherRole = aPolled.role != aPublished.role || aPolled.state != aPublished.state ||
                            aPolled.kvBlocksTotal != aPublished.kvBlocksTotal;
  return hasQueueChanged || hasOtherRole ||
         difference * kLargeShare >= static_cast<int>(aPolled.kvBlocksTotal) ||
         aSincePublished >= kLoadRefresh - kPollSlack;
}

bool ShouldPublishLoad(std::string_view aPublished, std::string_view aPolled,
                       Duration aSincePublished)
{
  const std::optional<EngineLoadValue> published = DecodeEngineLoad(aPublished);
  const std::optional<EngineLoadValue> polled = DecodeEngineLoad(aPolled);
  return !published || !polled || ShouldPublishLoad(*published, *polled, aSincePublished);
}

} // namespace masticstep
