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

// Certificate files in PEM form. The authority signs the certificates of all daemons.
struct TlsSettings
{
  std::string certificate;
  std::string key;
  std::string authority;
  bool callers = false; // also use TLS towards callers

  auto operator<=>(const TlsSettings&) const = default;
};

// Bounds on what one caller connection may use.
struct ConnectionLimits
{
  std::uint32_t headerBytes = 16384;
  std::uint32_t bodyBytes = 1048576;
  Duration idleTimeout = Seconds(60);
  std::uint32_t connectionsPerSource = 1024;
  Duration slowReaderTimeout = Seconds(10); // longest wait for a caller to take bytes

  auto operator<=>(const ConnectionLimits&) const = default;
};

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error
};

// Settings of one host's daemon, read once at start.
struct Settings
{
  HostName host;
  RegionName region;
  DataCentreName dataCentre;
  SocketAddress callerAddress;
  SocketAddress peerAddress;
  SocketAddress adminAddress;
  HttpUrl platformUrl;
  std::vector<SocketAddress> peers; // where to look for the first peer
  std::optional<TlsSettings> tls;
  std::uint32_t workers = 4;
  LogLevel logLevel = LogLevel::Info;
  Duration balancerNotice = Seconds(3); // time for the balancer to see that the daemon is not ready
  Duration shutdownTimeout = Seconds(30); // bound of a graceful shutdown
  ConnectionLimits limits;

  auto operator<=>(const Settings&) const = default;
};

// Parses and checks a settings file. The error lists every fault of the file.
Result<Settings, Faults> ParseSettings(std::string_view aText, const std::string& aFile);

} // namespace masticstep
