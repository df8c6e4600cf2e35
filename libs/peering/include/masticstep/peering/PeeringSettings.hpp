#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/net/TlsContext.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticstep {

struct PeeringSettings
{
  HostName host;
  RegionName region;
  DataCentreName dataCentre;
  std::string address; // HOST:PORT to listen on and to advertise; port 0 binds a free port
  std::vector<std::string> seeds;   // HOST:PORT
  std::optional<net::TlsFiles> tls; // absent: plain TCP, on loopback addresses only
  // Must increase with each start of the host, such as wall-clock milliseconds.
  std::uint64_t initialIncarnation = 1;
  std::uint64_t randomSeed = 1;
};

struct PeeringError
{
  std::string message;

  bool operator==(const PeeringError&) const = default;
};

// Totals since the start and the number of open links.
struct PeeringCounters
{
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  std::uint64_t linksDropped = 0; // timed out, send queue full or connection failed
  // Closed before the Hello: bad certificate, incompatible version or malformed frame.
  std::uint64_t linksRefused = 0;
  std::size_t links = 0;

  bool operator==(const PeeringCounters&) const = default;
};

} // namespace masticstep
