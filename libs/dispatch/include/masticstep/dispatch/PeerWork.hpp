#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace masticstep::dispatch {

// OutstandingWork that lies at one backend server.
struct OutstandingWork
{
  Duration prefillTime{ 0 };  // time that the server still needs for reading prompts
  std::uint32_t requests = 0; // sent and not answered in full
  std::uint64_t tokens = 0;   // of the prompts of running answers

  bool operator==(const OutstandingWork&) const = default;
};

using WorkByBackend = std::map<BackendServerName, OutstandingWork>;

// What the other daemons of the data centre say of their work. A daemon that falls silent is
// forgotten.
class PeerWork
{
public:
  // Takes a report over unless a newer one of the same daemon is known.
  void OnReport(const HostName& aHost, std::uint64_t aSequence, WorkByBackend aWork, Time aNow);
  // Returns the work of all others at a backend server, as they reported it: which of them a server
  // works on since then is not known.
  OutstandingWork TotalAt(const BackendServerName& aBackend, Time aNow) const;
  // Daemons that were heard lately.
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
