#pragma once

#include "masticstep/base/Identifier.hpp"

#include <atomic>
#include <string>

namespace masticstep::gateway {

// Number of a request within this process, and its name among all daemons.
struct RequestName
{
  RequestId number;
  std::string text;

  bool operator==(const RequestName&) const = default;
};

// Names requests. The names contain the host and a value drawn at start, so that no two daemons and
// no two runs of one daemon use the same name.
class RequestNames
{
public:
  RequestNames(const HostName& aHost, std::uint64_t aStartNonce);

  RequestName Next();

private:
  const std::string mPrefix;
  std::atomic<std::uint64_t> mNext{ 1 };
};

// Returns 16 hexadecimal digits.
std::string HexText(std::uint64_t aNumber);

} // namespace masticstep::gateway
