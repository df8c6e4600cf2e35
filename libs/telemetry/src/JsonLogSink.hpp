#pragma once

#include "LineWriter.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <glog/logging.h>

#include <memory>
#include <string>

namespace masticstep::telemetry {

// glog sink that writes each message as one line. Messages of Log are JSON already;
// messages that a library logs through glog are wrapped.
class JsonLogSink : public google::LogSink
{
public:
  JsonLogSink(std::shared_ptr<LineWriter> aWriter, std::string aHost, bool aWraps);

  void send(google::LogSeverity aSeverity, const char* aFullName, const char* aBaseName, int aLine,
            const google::LogMessageTime& aTime, const char* aMessage,
            std::size_t aLength) override;

private:
  const std::shared_ptr<LineWriter> mWriter;
  const std::string mHost;
  const bool mWraps;
};

// Returns the wall-clock time as ISO 8601 in UTC with milliseconds.
std::string IsoTime();

} // namespace masticstep::telemetry
