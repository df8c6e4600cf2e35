#include "masticstep/spread/EngineLoadValue.hpp"

namespace masticstep {

namespace {

constexpr std::size_t kEncodedSize = 18;

void Put(std::string& aOut, std::uint64_t aValue, int aBytes)
{
  for (int i = 0; i < aBytes; ++i) {
    aOut += static_cast<char>(aValue & 0xffU);
    aValue >>= 8U;
  }
}

template <class Integer>
void Take(std::string_view& aIn, Integer& aValue)
{
  std::uint64_t value = 0;
  for (std::size_t i = sizeof(Integer); i > 0; --i) {
    value = (value << 8U) | static_cast<unsigned char>(aIn[i - 1]);
  }
  aValue = static_cast<Integer>(value);
  aIn.remove_prefix(sizeof(Integer));
}

} // namespace

std::string Encode(const EngineLoadValue& aValue)
{
  std::string bytes;
  Put(bytes, aValue.sequence, 4);
  Put(bytes, aValue.ageMs, 4);
  Put(bytes, aValue.running, 2);
  Put(bytes, aValue.waiting, 2);
  Put(bytes, aValue.kvBlocksUsed, 2);
  Put(bytes, aValue.kvBlocksTotal, 2);
  Put(bytes, aValue.role, 1);
  Put(bytes, aValue.state, 1);
  return bytes;
}

std::optional<EngineLoadValue> DecodeEngineLoad(std::string_view aBytes)
{
  if (aBytes.size() != kEncodedSize) {
    return std::nullopt;
  }
  EngineLoadValue value;
  Take(aBytes, value.sequence);
  Take(aBytes, value.ageMs);
  Take(aBytes, value.running);
  Take(aBytes, value.waiting);
  Take(aBytes, value.kvBlocksUsed);
  Take(aBytes, value.kvBlocksTotal);
  Take(aBytes, value.role);
  Take(aBytes, value.state);
  return value;
}

} // namespace masticstep
