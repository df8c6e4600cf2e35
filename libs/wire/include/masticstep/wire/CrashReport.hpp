#pragma once

#include "masticstep/base/Result.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/wire/WireError.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticstep::wire {

// Part of a prompt that an engine was answering when it crashed.
struct CrashSuspect
{
  std::uint64_t part = 0;
  std::uint32_t position = 0; // within the prompt, from 0

  bool operator==(const CrashSuspect&) const = default;
};

// Crash of one process of an engine.
struct ReportedCrash
{
  std::string process; // names the engine and its start
  Duration age{ 0 };
  std::vector<CrashSuspect> suspects;

  bool operator==(const ReportedCrash&) const = default;
};

// A prompt part and a length of time.
struct PartTime
{
  std::uint64_t part = 0;
  Duration time{ 0 };

  bool operator==(const PartTime&) const = default;
};

// What one daemon knows about crashed engines and the prompt parts that may have caused it.
// Clocks differ between hosts, so times are relative to the sending of the report.
struct CrashReport
{
  std::vector<ReportedCrash> crashes;
  std::vector<PartTime> quarantined; // time left of each quarantine
  std::vector<PartTime> sound;       // time since the latest whole answer

  bool operator==(const CrashReport&) const = default;
};

std::string EncodeCrashReport(const CrashReport& aReport);
// Returns whether the bytes begin like a crash report; they need not be valid.
bool IsCrashReport(std::string_view aBytes);
// Fails if the bytes are not a complete, valid report.
Result<CrashReport, WireError> DecodeCrashReport(std::string_view aBytes);

} // namespace masticstep::wire
