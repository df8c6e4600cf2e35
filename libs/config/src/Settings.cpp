#include "masticstep/config/Settings.hpp"

#include "AddressReader.hpp"

namespace masticstep {

namespace {

constexpr IntegerRange kWorkersRange{ 1, 256 };
constexpr IntegerRange kHeaderBytesRange{ 1024, 1048576 };
constexpr IntegerRange kBodyBytesRange{ 1024, 67108864 };
constexpr IntegerRange kConnectionsRange{ 1, 1000000 };
constexpr IntegerRange kTimeoutMillisecondsRange{ 100, 3600000 };
constexpr IntegerRange kShutdownMillisecondsRange{ 0, 3600000 };

ConnectionLimits ReadLimits(ObjectReader& aReader)
{
  ConnectionLimits limits;
  limits.headerBytes = static_cast<std::uint32_t>(
    aReader.OptionalInteger("header_bytes", kHeaderBytesRange, limits.headerBytes));
  limits.bodyBytes = static_cast<std::uint32_t>(
    aReader.OptionalInteger("body_bytes", kBodyBytesRange, limits.bodyBytes));
  limits.idleTimeout =
    ReadMilliseconds(aReader, "idle_ms", kTimeoutMillisecondsRange, limits.idleTimeout);
  limits.connectionsPerSource = static_cast<std::uint32_t>(aReader.OptionalInteger(
    "connections_per_source", kConnectionsRange, limits.connectionsPerSource));
  limits.slowReaderTimeout = ReadMilliseconds(aReader, "slow_reader_ms", kTimeoutMillisecondsRange,
                                              limits.slowReaderTimeout);
  aReader.Finish();
  return limits;
}

TlsSettings ReadTls(ObjectReader& aReader)
{
  TlsSettings tls;
  tls.certificate = aReader.RequiredString("certificate");
  tls.key = aReader.RequiredString("key");
  tls.authority = aReader.RequiredString("authority");
  tls.callers = aReader.OptionalBoolean("callers", false);
  aReader.Finish();
  return tls;
}

std::vector<SocketAddress> ReadPeers(ObjectReader& aReader)
{
  std::vector<SocketAddress> peers;
  for (const std::string& text : aReader.StringList("peers", false)) {
    const std::optional<SocketAddress> address = ParseSocketAddress(text);
    if (!address.has_value()) {
      aReader.Report("peers", "'" + text + "' is not an address", "IP:PORT");
      continue;
    }
    peers.push_back(*address);
  }
  return peers;
}

LogLevel ReadLogLevel(ObjectReader& aReader)
{
  if (!aReader.Has("log_level")) {
    aReader.OptionalString("log_level", {});
    return LogLevel::Info;
  }
  return static_cast<LogLevel>(
    aReader.RequiredChoice("log_level", { "debug", "info", "warning", "error" }));
}

Settings ReadSettings(ObjectReader& aReader)
{
  Settings settings;
  settings.host = HostName(aReader.RequiredName("host"));
  settings.region = RegionName(aReader.RequiredName("region"));
  settings.dataCentre = DataCentreName(aReader.RequiredName("data_centre"));
  settings.callerAddress = ReadAddress(aReader, "caller_address");
  settings.peerAddress = ReadAddress(aReader, "peer_address");
  settings.adminAddress = ReadAddress(aReader, "admin_address");
  settings.platformUrl = ReadUrl(aReader, "platform_url");
  settings.peers = ReadPeers(aReader);
  settings.workers =
    static_cast<std::uint32_t>(aReader.OptionalInteger("workers", kWorkersRange, settings.workers));
  settings.logLevel = ReadLogLevel(aReader);
  settings.balancerNotice = ReadMilliseconds(aReader, "balancer_notice_ms",
                                             kShutdownMillisecondsRange, settings.balancerNotice);
  settings.shutdownTimeout =
    ReadMilliseconds(aReader, "shutdown_ms", kShutdownMillisecondsRange, settings.shutdownTimeout);
  if (std::optional<ObjectReader> reader = aReader.OptionalObject("tls")) {
    settings.tls = ReadTls(*reader);
  }
  if (std::optional<ObjectReader> reader = aReader.OptionalObject("limits")) {
    settings.limits = ReadLimits(*reader);
  }
  aReader.Finish();
  return settings;
}

} // namespace

Result<Settings, Faults> ParseSettings(std::string_view aText, const std::string& aFile)
{
  Faults faults;
  const std::optional<boost::json::object> object = ParseObject(aText, aFile, faults);
  if (!object.has_value()) {
    return Failure(faults);
  }
  ObjectReader reader(*object, aFile, "$", faults);
  Settings settings = ReadSettings(reader);
  if (faults.empty() && settings.shutdownTimeout < settings.balancerNotice) {
    reader.Report("shutdown_ms", "shorter than balancer_notice_ms", "at least balancer_notice_ms");
  }
  if (!faults.empty()) {
    return Failure(faults);
  }
  return settings;
}

} // namespace masticstep
