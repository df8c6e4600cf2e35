#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace masticstep::dispatch {

// Outstanding work at one backend server.
struct OutstandingWork
{
  Duration prefillTime{ 0 };  // remaining prefill time
  std::uint32_t requests = 0; // sent and not completely answered
  std::uint64_t tokens = 0;   // prompt tokens held in the KV cache by running requests

  bool operator==(const OutstandingWork&) const = default;
};

using WorkByBackend = std::map<BackendServerName, OutstandingWork>;

// Outstanding work reported by the other daemons of the data centre. Reports expire when a daemon
// stops sending them.
class PeerWork
{
public:
  // Stores a report unless one with the same or a higher sequence number is known.
  void OnReport(const HostName& aHost, std::uint64_t aSequence, WorkByBackend aWork, Time aNow);
  // Returns the work of all peers at a backend server as reported. It is not reduced by the age of
  // the reports, since it is unknown which requests the server has processed since.
  OutstandingWork TotalAt(const BackendServerName& aBackend, Time aNow) const;
  // Daemons whose latest report has not expired.
  std::vector<HostName> ActiveHosts(Time aNow) const;

private:
  struct Report
  {
    std::uint64_t sequence = 0;
    Time receivedAt;
    WorkByBackend work;
  };

  std::map<HostName, Report> mReports;
};

} // namespace masticstep::dispatch
