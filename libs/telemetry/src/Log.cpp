#include "masticstep/telemetry/Log.hpp"

#include "JsonLogSink.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <unistd.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace masticstep::telemetry {

namespace {

// Bound of the log of one process.
constexpr double kLinesPerSecond = 1000.0;

// Sinks and host of the process. They are never destroyed, since threads may log until exit.
struct State
{
  std::atomic<Level> minimum{ Level::Warning };
  std::mutex mutex;
  std::string host;
  std::shared_ptr<LineWriter> writer = std::make_shared<LineWriter>(STDERR_FILENO, kLinesPerSecond);
  std::unique_ptr<JsonLogSink> sink = std::make_unique<JsonLogSink>(writer, "", false);
  std::unique_ptr<JsonLogSink> wrapping;
};

State& GlobalState()
{
  static State* sState = new State;
  return *sState;
}

const char* ToString(Level aLevel)
{
  switch (aLevel) {
    case Level::Debug:
      return "debug";
    case Level::Info:
      return "info";
    case Level::Warning:
      return "warning";
    case Level::Error:
      return "error";
  }
  return "error";
}

void AppendString(std::string& aOutput, std::string_view aText)
{
  aOutput += boost::json::serialize(boost::json::string_view(aText.data(), aText.size()));
}

void AppendMember(std::string& aOutput, std::string_view aName)
{
  aOutput += ',';
  AppendString(aOutput, aName);
  aOutput += ':';
}

void AppendValue(std::string& aOutput, const Field& aField)
{
  const auto append = [&aOutput](const auto& aValue) {
    aOutput += boost::json::serialize(boost::json::value(aValue));
  };
  std::visit(append, aField.value);
}

} // namespace

void StartLog(Level aMinimum, std::string aHost)
{
  State& state = GlobalState();
  state.minimum = aMinimum;
  const std::lock_guard<std::mutex> lock(state.mutex);
  state.host = std::move(aHost);
  if (state.wrapping) {
    return;
  }
  state.writer->SetHandle(STDOUT_FILENO);
  // No log files: entry hosts have no disk.
  for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
    google::SetLogDestination(severity, "");
  }
  FLAGS_logtostderr = false;
  FLAGS_stderrthreshold = google::NUM_SEVERITIES;
  google::InitGoogleLogging("masticstep");
  state.wrapping = std::make_unique<JsonLogSink>(state.writer, state.host, true);
  google::AddLogSink(state.wrapping.get());
}

void Log(Level aLevel, std::string_view aEvent, std::initializer_list<Field> aFields)
{
  State& state = GlobalState();
  if (aLevel < state.minimum) {
    return;
  }
  std::string host;
  {
    const std::lock_guard<std::mutex> lock(state.mutex);
    host = state.host;
  }
  const std::string line = FormatLine(IsoTime(), aLevel, aEvent, host, std::vector<Field>(aFields));
  LOG_TO_SINK_BUT_NOT_TO_LOGFILE(state.sink.get(), INFO) << line;
}

std::string FormatLine(std::string_view aTime, Level aLevel, std::string_view aEvent,
                       std::string_view aHost, const std::vector<Field>& aFields)
{
  std::string line = "{\"time\":";
  AppendString(line, aTime);
  AppendMember(line, "level");
  AppendString(line, ToString(aLevel));
  AppendMember(line, "event");
  AppendString(line, aEvent);
  AppendMember(line, "host");
  AppendString(line, aHost);
  for (const Field& field : aFields) {
    AppendMember(line, field.name);
    AppendValue(line, field);
  }
  return line + "}";
}

} // namespace masticstep::telemetry
