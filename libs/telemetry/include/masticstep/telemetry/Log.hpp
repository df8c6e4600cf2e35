#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace masticstep::telemetry {

enum class Level
{
  Debug,
  Info,
  Warning,
  Error
};

// Typed field of a log line. Fields never hold keys, prompts or generated text.
struct Field
{
  std::string name;
  std::variant<std::string, std::int64_t, double, bool> value;

  Field(std::string aName, std::string aValue);
  Field(std::string aName, const char* aValue);
  Field(std::string aName, std::int64_t aValue);
  Field(std::string aName, std::uint64_t aValue);
  Field(std::string aName, std::uint32_t aValue);
  Field(std::string aName, int aValue);
  Field(std::string aName, double aValue);
  Field(std::string aName, bool aValue);

  bool operator==(const Field&) const = default;
};

// Directs the log to standard output as JSON lines. Lines below aMinimum are dropped, and so are
// lines beyond a bound a second and those that their reader does not take at once; a line tells how
// many were. Call it once at start; before, only warnings and errors are written, to stderr.
void StartLog(Level aMinimum, std::string aHost);

// Writes one line {"time", "level", "event", "host", fields...}. Safe to call from every thread.
void Log(Level aLevel, std::string_view aEvent, std::initializer_list<Field> aFields = {});

// Formats a line without its line end. aTime is an ISO 8601 time in UTC.
std::string FormatLine(std::string_view aTime, Level aLevel, std::string_view aEvent,
                       std::string_view aHost, const std::vector<Field>& aFields);

} // namespace masticstep::telemetry
