#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/wire/WireError.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticstep::wire {

// Work of one daemon that lies at one backend server.
struct BackendWork
{
  BackendServerName backend;
  Duration prefillTime{ 0 };  // time that the server still needs for reading prompts
  std::uint32_t requests = 0; // sent and not answered in full
  std::uint64_t tokens = 0;   // of the prompts of running answers

  bool operator==(const BackendWork&) const = default;
};

// What one daemon tells the others of its data centre. A report replaces the earlier ones.
struct WorkReport
{
  HostName host;
  std::uint64_t sequence = 0; // grows with each report of one process
  std::vector<BackendWork> backends;
  std::uint64_t newestEntry = 0;   // revision of the newest entry of a backend server that it knows
  std::uint64_t configuration = 0; // version that is in force at the daemon

  bool operator==(const WorkReport&) const = default;
};

// Largest datagram that is sent and taken, in bytes.
constexpr std::size_t kMaximumWorkReportBytes = 60000;

std::string EncodeWorkReport(const WorkReport& aReport);
// Fails on bytes that are no whole report.
Result<WorkReport, WireError> DecodeWorkReport(std::string_view aBytes);

} // namespace masticstep::wire
