#include "RequestNames.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace masticstep::gateway {

std::string HexText(std::uint64_t aNumber)
{
  std::array<char, 20> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, aNumber);
  return text.data();
}

RequestNames::RequestNames(const HostName& aHost, std::uint64_t aStartNonce)
  : mPrefix(aHost.Text() + "-" + HexText(aStartNonce) + "-")
{
}

RequestName RequestNames::Next()
{
  const std::uint64_t number = mNext.fetch_add(1, std::memory_order_relaxed);
  return { RequestId{ number }, mPrefix + std::to_string(number) };
}

} // namespace masticstep::gateway
