#include "JsonLogSink.hpp"

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <utility>

namespace masticstep::telemetry {

namespace {

Level LevelOf(google::LogSeverity aSeverity)
{
  if (aSeverity >= google::GLOG_ERROR) {
    return Level::Error;
  }
  return aSeverity == google::GLOG_WARNING ? Level::Warning : Level::Info;
}

} // namespace

std::string IsoTime()
{
  const std::chrono::system_clock::time_point now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const std::int64_t milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const std::size_t n = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 8> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(milliseconds));
  return std::string(text.data(), n) + fraction.data();
}

JsonLogSink::JsonLogSink(std::shared_ptr<LineWriter> aWriter, std::string aHost, bool aWraps)
  : mWriter(std::move(aWriter))
  , mHost(std::move(aHost))
  , mWraps(aWraps)
{
}

void JsonLogSink::send(google::LogSeverity aSeverity, const char* /*aFullName*/,
                       const char* aBaseName, int aLine, const google::LogMessageTime& /*aTime*/,
                       const char* aMessage, std::size_t aLength)
{
  std::string line(aMessage, aLength);
  if (mWraps) {
    const std::string place = std::string(aBaseName) + ":" + std::to_string(aLine);
    line = FormatLine(IsoTime(), LevelOf(aSeverity), "library message", mHost,
                      { { "place", place }, { "message", line } });
  }
  // Lines of Log carry their level; it is the second member.
  const bool isFailure =
    LevelOf(aSeverity) >= Level::Warning || line.find("\"level\":\"info\"") == std::string::npos;
  mWriter->Write(line, isFailure);
}

} // namespace masticstep::telemetry
