#include "masticstep/cli/ExplainCommand.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <istream>
#include <map>
#include <optional>
#include <ostream>
#include <sstream>
#include <vector>

namespace masticstep {

namespace {

using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

struct LogLine
{
  std::string timeText;
  WallTime time;
  std::string host;
  std::string event;
  std::string requestId; // empty if the line belongs to no request
  boost::json::object fields;
};

struct Logs
{
  std::vector<LogLine> lines;
  std::size_t skippedCount = 0;
};

std::string StringField(const boost::json::object& aObject, std::string_view aName)
{
  const boost::json::value* value = aObject.if_contains(aName);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

// Parses a UTC time such as "2026-12-04T08:41:54.085Z".
std::optional<WallTime> ParseTime(const std::string& aText)
{
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
  int millisecond = 0;
  char separator = 0;
  std::istringstream text(aText);
  text >> year >> separator >> month >> separator >> day >> separator >> hour >> separator >>
    minute >> separator >> second >> separator >> millisecond;
  const std::chrono::year_month_day date{ std::chrono::year(year), std::chrono::month(month),
                                          std::chrono::day(day) };
  if (!text || !date.ok()) {
    return std::nullopt;
  }
  return std::chrono::sys_days(date) + std::chrono::hours(hour) + std::chrono::minutes(minute) +
         std::chrono::seconds(second) + std::chrono::milliseconds(millisecond);
}

std::optional<LogLine> ParseLogLine(const std::string& aText)
{
  boost::system::error_code ec;
  boost::json::value value = boost::json::parse(aText, ec);
  if (ec || !value.is_object()) {
    return std::nullopt;
  }
  LogLine line;
  line.fields = std::move(value.get_object());
  line.timeText = StringField(line.fields, "time");
  line.host = StringField(line.fields, "host");
  line.event = StringField(line.fields, "event");
  line.requestId = StringField(line.fields, "request_id");
  const std::optional<WallTime> time = ParseTime(line.timeText);
  if (!time) {
    return std::nullopt;
  }
  line.time = *time;
  for (const char* key : { "time", "host", "event", "request_id", "level" }) {
    line.fields.erase(key);
  }
  return line;
}

void ReadLines(std::istream& aInput, Logs& aLogs)
{
  for (std::string text; std::getline(aInput, text);) {
    std::optional<LogLine> line = ParseLogLine(text);
    if (line) {
      aLogs.lines.push_back(std::move(*line));
    } else {
      aLogs.skippedCount += text.empty() ? 0 : 1;
    }
  }
}

void PrintLine(const LogLine& aLine, std::ostream& aOutput)
{
  aOutput << aLine.timeText << "  " << aLine.host << "  " << aLine.event;
  for (const boost::json::key_value_pair& field : aLine.fields) {
    aOutput << "  " << field.key() << "=" << boost::json::serialize(field.value());
  }
  aOutput << "\n";
}

// Returns the kind of daemon state that the line reports, or an empty string if it reports none.
// The latest line of each kind shows the daemon's configuration and its connection to each platform
// feed.
std::string StateKeyOf(const LogLine& aLine)
{
  if (aLine.event == "platform lost" || aLine.event == "platform reached") {
    return "platform " + StringField(aLine.fields, "feed");
  }
  return aLine.event == "configuration in force" || aLine.event == "daemon started" ||
             aLine.event == "shutdown begins"
           ? aLine.event
           : std::string();
}

void PrintRequestLog(const Logs& aLogs, const std::string& aId, Duration aAround,
                     std::ostream& aOutput)
{
  std::vector<const LogLine*> requestLines;
  for (const LogLine& line : aLogs.lines) {
    if (line.requestId == aId) {
      requestLines.push_back(&line);
    }
  }
  const LogLine& first = *requestLines.front();
  const LogLine& last = *requestLines.back();
  const std::chrono::milliseconds around =
    std::chrono::duration_cast<std::chrono::milliseconds>(aAround);
  std::map<std::string, const LogLine*> latestStateLines;
  std::vector<const LogLine*> printedLines;
  for (const LogLine& line : aLogs.lines) {
    const bool isNearRequest = line.host == first.host && line.requestId.empty() &&
                               line.time >= first.time - around && line.time <= last.time + around;
    if (line.requestId == aId || (isNearRequest && aAround > Duration::zero())) {
      printedLines.push_back(&line);
    } else if (line.host == first.host && line.time <= first.time && !StateKeyOf(line).empty()) {
      latestStateLines[StateKeyOf(line)] = &line;
    }
  }
  aOutput << "known before:\n";
  for (const auto& [name, line] : latestStateLines) {
    PrintLine(*line, aOutput);
  }
  aOutput << "request " << aId << ":\n";
  for (const LogLine* line : printedLines) {
    PrintLine(*line, aOutput);
  }
}

} // namespace

ExitCode RunExplain(const Command& aCommand, std::istream& aInput, std::ostream& aOutput,
                    std::ostream& aErrors)
{
  Logs logs;
  if (aCommand.logFiles.empty()) {
    ReadLines(aInput, logs);
  }
  for (const std::string& name : aCommand.logFiles) {
    std::ifstream file(name);
    if (!file) {
      aErrors << name << ": cannot be read\n";
      return ExitCode::BadInput;
    }
    ReadLines(file, logs);
  }
  std::stable_sort(
    logs.lines.begin(), logs.lines.end(),
    [](const LogLine& aLeft, const LogLine& aRight) { return aLeft.time < aRight.time; });
  if (logs.skippedCount > 0) {
    aErrors << logs.skippedCount << " lines are no log lines\n";
  }
  const bool isFound = std::any_of(logs.lines.begin(), logs.lines.end(), [&](const LogLine& aLine) {
    return aLine.requestId == aCommand.requestId;
  });
  if (!isFound) {
    aErrors << "no line names request " << aCommand.requestId << "\n";
    return ExitCode::BadInput;
  }
  PrintRequestLog(logs, aCommand.requestId, aCommand.around, aOutput);
  return ExitCode::Done;
}

} // namespace masticstep
