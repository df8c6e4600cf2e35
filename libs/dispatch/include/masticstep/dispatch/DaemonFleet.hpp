#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstddef>
#include <vector>

namespace masticstep::dispatch {

// One daemon's part of the requests per second that a backend server accepts from all daemons.
struct RequestAllotment
{
  double perSecond = 0.0;
  // Interval at which the daemon may send a request beyond that, to learn whether the limit holds.
  Duration probeInterval{ 0 };

  bool operator==(const RequestAllotment&) const = default;
};

// The daemons that share the limits of backend servers. They divide a limit without coordination:
// a few daemons, chosen by rendezvous hashing for each backend server, get an equal part each,
// since parts of a small limit among hundreds of daemons would be too small to use.
class DaemonFleet
{
public:
  // Sets the daemons of all data centres. Those that have left may be included; their part of a
  // limit is then not used.
  void Set(HostName aOwn, std::vector<HostName> aAll);
  RequestAllotment AllotmentOf(const BackendServerName& aBackend, double aPerSecond) const;

private:
  HostName mOwn;
  std::vector<HostName> mAll; // empty while unknown
};

} // namespace masticstep::dispatch
