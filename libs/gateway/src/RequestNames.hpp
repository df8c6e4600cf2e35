#pragma once

#include "masticstep/base/Identifier.hpp"

#include <atomic>
#include <string>

namespace masticstep::gateway {

// Number of a request, unique within the process, and its name, unique among all daemons.
struct RequestName
{
  RequestId number;
  std::string text;

  bool operator==(const RequestName&) const = default;
};

// Generates request names. A name contains the host name and a nonce drawn at start, so that names
// are unique across daemons and across restarts of a daemon.
class RequestNames
{
public:
  RequestNames(const HostName& aHost, std::uint64_t aStartNonce);

  RequestName Next();

private:
  const std::string mPrefix;
  std::atomic<std::uint64_t> mNext{ 1 };
};

// Formats the number as 16 hexadecimal digits.
std::string HexText(std::uint64_t aNumber);

} // namespace masticstep::gateway
