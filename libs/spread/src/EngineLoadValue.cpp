#include "masticstep/spread/EngineLoadValue.hpp"

#include <cstdlib>
#include <limits>

namespace masticstep {

namespace {

constexpr unsigned kVarintBits = 7;
constexpr unsigned char kContinuationBit = 0x80;

void AppendVarint(std::string& aOut, std::uint64_t aValue)
{
  while (aValue >= kContinuationBit) {
    aOut += static_cast<char>((aValue & 0x7fU) | kContinuationBit);
    aValue >>= kVarintBits;
  }
  aOut += static_cast<char>(aValue);
}

// Reads a varint and removes it from the front. Returns false if it is truncated or out of range.
template <class Integer>
bool ReadVarint(std::string_view& aIn, Integer& aValue)
{
  std::uint64_t value = 0;
  for (unsigned shift = 0; shift < std::numeric_limits<std::uint32_t>::digits;
       shift += kVarintBits) {
    if (aIn.empty()) {
      return false;
    }
    const unsigned char byte = static_cast<unsigned char>(aIn.front());
    aIn.remove_prefix(1);
    value |= static_cast<std::uint64_t>(byte & 0x7fU) << shift;
    if (byte < kContinuationBit) {
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
  AppendVarint(bytes, aValue.sequence);
  AppendVarint(bytes, aValue.ageMs);
  AppendVarint(bytes, aValue.running);
  AppendVarint(bytes, aValue.waiting);
  AppendVarint(bytes, aValue.kvBlocksUsed);
  AppendVarint(bytes, aValue.kvBlocksTotal);
  AppendVarint(bytes, aValue.role);
  AppendVarint(bytes, aValue.state);
  return bytes;
}

std::optional<EngineLoadValue> DecodeEngineLoad(std::string_view aBytes)
{
  EngineLoadValue value;
  const bool isComplete = ReadVarint(aBytes, value.sequence) && ReadVarint(aBytes, value.ageMs) &&
                          ReadVarint(aBytes, value.running) && ReadVarint(aBytes, value.waiting) &&
                          ReadVarint(aBytes, value.kvBlocksUsed) &&
                          ReadVarint(aBytes, value.kvBlocksTotal) &&
                          ReadVarint(aBytes, value.role) && ReadVarint(aBytes, value.state);
  return isComplete && aBytes.empty() ? std::optional<EngineLoadValue>(value) : std::nullopt;
}

bool ShouldPublishLoad(const EngineLoadValue& aPublished, const EngineLoadValue& aPolled,
                       Duration aTimeSincePublished)
{
  // Changes below an eighth of the KV cache rarely affect routing decisions, since each daemon
  // accounts for its own requests immediately.
  constexpr int kLargeChangeDivisor = 8;
  // Half of the poll interval of 1 s, to allow for its jitter.
  constexpr Duration kPollJitterAllowance = Milliseconds(500);
  const int difference = std::abs(aPolled.kvBlocksUsed - aPublished.kvBlocksUsed);
  const bool hasQueueChanged = (aPolled.waiting == 0) != (aPublished.waiting == 0);
  const bool hasStateChanged = aPolled.role != aPublished.role ||
                               aPolled.state != aPublished.state ||
                               aPolled.kvBlocksTotal != aPublished.kvBlocksTotal;
  return hasQueueChanged || hasStateChanged ||
         difference * kLargeChangeDivisor >= static_cast<int>(aPolled.kvBlocksTotal) ||
         aTimeSincePublished >= kLoadRefreshInterval - kPollJitterAllowance;
}

bool ShouldPublishLoad(std::string_view aPublished, std::string_view aPolled,
                       Duration aTimeSincePublished)
{
  const std::optional<EngineLoadValue> published = DecodeEngineLoad(aPublished);
  const std::optional<EngineLoadValue> polled = DecodeEngineLoad(aPolled);
  return !published || !polled || ShouldPublishLoad(*published, *polled, aTimeSincePublished);
}

} // namespace masticstep
