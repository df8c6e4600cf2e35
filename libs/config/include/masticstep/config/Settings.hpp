#pragma once

#include "masticstep/base/Fault.hpp"
#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/config/SocketAddress.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace masticstep {

// Paths of the TLS files in PEM format. The authority signs the certificates of all daemons.
struct TlsSettings
{
  std::string certificate;
  std::string key;
  std::string authority;
  bool callers = false; // also use TLS for connections from callers

  auto operator<=>(const TlsSettings&) const = default;
};

// Limits on connections from callers.
struct ConnectionLimits
{
  std::uint32_t headerBytes = 16384;
  std::uint32_t bodyBytes = 1048576;
  Duration idleTimeout = Seconds(60);
  std::uint32_t connectionsPerSource = 1024;
  Duration slowReaderTimeout = Seconds(10); // for writes to a caller that does not read

  auto operator<=>(const ConnectionLimits&) const = default;
};

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error
};

// Settings of the daemon on one host, read once at startup.
struct Settings
{
  HostName host;
  RegionName region;
  DataCentreName dataCentre;
  SocketAddress callerAddress;
  SocketAddress peerAddress;
  SocketAddress adminAddress;
  HttpUrl platformUrl;
  std::vector<SocketAddress> peers; // seed addresses for contacting the first peer
  std::optional<TlsSettings> tls;
  std::uint32_t workers = 4;
  LogLevel logLevel = LogLevel::Info;
  // Time for the load balancer to detect that the daemon is no longer ready, before it stops
  // accepting connections.
  Duration balancerNotice = Seconds(3);
  Duration shutdownTimeout = Seconds(30); // of a graceful shutdown, including balancerNotice
  ConnectionLimits limits;

  auto operator<=>(const Settings&) const = default;
};

// Parses and validates a settings file. The error lists all faults of the file.
Result<Settings, Faults> ParseSettings(std::string_view aText, const std::string& aFile);

} // namespace masticstep
