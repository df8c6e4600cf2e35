#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/membership/MemberRecord.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace masticstep {

// The direct timeout of 300 ms is set by the design page and leaves 700 ms of the interval for
// indirect probes.
constexpr Duration kProbeInterval = Seconds(1);
constexpr Duration kProbeTimeout = Milliseconds(300);
constexpr Duration kIndirectTimeout = Milliseconds(400);
constexpr Duration kSuspicionTimeout = Seconds(3);
// Members asked to probe an unresponsive member; also the fan-out of urgent updates.
constexpr std::size_t kIndirectProbes = 3;
// Daemons of a data centre with links to each other data centre, and links of each such daemon.
constexpr std::size_t kLinksPerDataCentre = 2;
// A daemon that wakes up later than this was paused. It discards its pending probes, since the acks
// may have been missed during the pause.
constexpr Duration kPauseThreshold = Milliseconds(500);
// Interval of attempts to reach a removed member or unknown address, to rejoin after a partition.
constexpr Duration kReconnectInterval = Seconds(5);
// Minimum interval between syncs requested because of differing digests. A sync costs about 15 KB
// with 370 daemons.
constexpr Duration kSyncInterval = Seconds(5);
// Records of Dead and Left members are kept this long, so that outdated messages do not bring the
// members back.
constexpr Duration kDepartedRetention = std::chrono::hours{ 48 };

struct MembershipSettings
{
  // The state is ignored. The incarnation must increase with each start on a host; the caller
  // passes wall-clock milliseconds. After a clock fault, the daemon raises it when it receives a
  // record of itself that supersedes its own.
  MemberRecord self;
  std::vector<std::string> seeds; // peer addresses from the settings file
  std::uint64_t randomSeed = 0;
};

// Address of a daemon from the platform's host list. The list may be outdated, so the address is
// only tried; the entry doesn't make the daemon a member.
struct Contact
{
  HostName name;
  std::string address;

  auto operator<=>(const Contact&) const = default;
};

} // namespace masticstep
