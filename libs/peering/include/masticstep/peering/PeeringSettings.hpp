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
  std::string address; // HOST:PORT to listen on and to tell others; port 0 takes a free one
  std::vector<std::string> seeds;   // HOST:PORT
  std::optional<net::TlsFiles> tls; // absent: plain TCP, on loopback addresses only
  // Must grow from one start of the host to the next: wall-clock milliseconds.
  std::uint64_t initialIncarnation = 1;
  std::uint64_t randomSeed = 1;
};

struct PeeringError
{
  std::string message;

  bool operator==(const PeeringError&) const = default;
};

// Totals since the start, and open links.
struct PeeringCounters
{
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  std::uint64_t linksDropped = 0; // silent, overflowing or failed
  std::uint64_t linksRefused = 0; // bad certificate, other version or malformed frames
  std::size_t links = 0;

  bool operator==(const PeeringCounters&) const = default;
};

} // namespace masticstep
