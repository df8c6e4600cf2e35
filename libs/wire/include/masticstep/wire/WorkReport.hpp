#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Result.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/wire/WireError.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticstep::wire {

// Outstanding work that one daemon has sent to one backend server.
struct BackendWork
{
  BackendServerName backend;
  Duration prefillTime{ 0 };  // remaining prefill time at the server
  std::uint32_t requests = 0; // sent and not completely answered
  std::uint64_t tokens = 0;   // prompt tokens of running requests

  bool operator==(const BackendWork&) const = default;
};

// Engine time that the recent requests of one daemon to a service needed, in seconds of one engine.
struct ServiceNeed
{
  ServiceName service;
  double prefillSeconds = 0.0;
  double slotSeconds = 0.0;
  double kvCacheSeconds = 0.0;
  double transferSeconds = 0.0;

  bool operator==(const ServiceNeed&) const = default;
};

// Report of one daemon to the other daemons of its data centre. It replaces all earlier reports
// of the daemon.
struct WorkReport
{
  HostName host;
  std::uint64_t sequence = 0; // increases with each report of a process
  std::vector<BackendWork> backends;
  std::uint64_t newestEntry = 0; // revision of the newest backend server entry known to the daemon
  std::uint64_t configuration = 0;    // version in force at the daemon
  std::vector<ServiceNeed> needs;     // empty if sent in a recent report
  std::uint64_t backendChanges = 0;   // store revision at which the daemon saw the latest change
  std::optional<Duration> storeAge{}; // time since the daemon's last answer from the store
  std::uint64_t storeEra = 0;         // era of the store of newestEntry and backendChanges
  // Time of day at the sender, since 1970; zero if it tells none.
  Duration clock{ 0 };
  // Whether the daemon cannot act as store poller; see duties::StoreRoles.
  bool needsStandby = false;
  bool isStoreLost = false; // whether the store does not answer the daemon

  bool operator==(const WorkReport&) const = default;
};

// Largest datagram that is sent or accepted.
constexpr std::size_t kMaximumWorkReportBytes = 60000;

std::string EncodeWorkReport(const WorkReport& aReport);
// Fails if the bytes are not a complete, valid report.
Result<WorkReport, WireError> DecodeWorkReport(std::string_view aBytes);

} // namespace masticstep::wire
