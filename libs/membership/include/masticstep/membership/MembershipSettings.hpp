#pragma once

#include "masticstep/base/Time.hpp"
#include "masticstep/membership/MemberRecord.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace masticstep {

// A direct probe of the design page's 300 ms leaves 700 ms of the interval for indirect probes.
constexpr Duration kProbeInterval = Seconds(1);
constexpr Duration kProbeTimeout = Milliseconds(300);
constexpr Duration kIndirectTimeout = Milliseconds(400);
constexpr Duration kSuspicionTime = Seconds(3);
constexpr std::size_t kIndirectProbes = 3;
// Links kept to each other data centre, and daemons that keep them.
constexpr std::size_t kLinksPerDataCentre = 2;
// A daemon whose wake-up came this much late was paused: its own silence must not be held against
// others.
constexpr Duration kPauseThreshold = Milliseconds(500);
// How often a daemon tries one removed member or unknown contact, for rejoining after a partition.
constexpr Duration kReconnectInterval = Seconds(5);
// A full exchange costs about 15 KB at 370 daemons, so differing views may ask for one this often.
constexpr Duration kSyncInterval = Seconds(5);
// Removed members are forgotten after this time; until then an older message cannot bring them
// back.
constexpr Duration kForgetTime = std::chrono::hours{ 48 };

struct MembershipSettings
{
  // The state is ignored. The incarnation must grow from one start of a host to the next (the shell
  // passes wall-clock milliseconds); after a clock fault the daemon raises it when it hears of
  // itself.
  MemberRecord self;
  std::vector<std::string> seeds; // addresses from the settings file
  std::uint64_t randomSeed = 0;
};

// Address of a daemon from the platform's host list, which lags: it is tried, never believed.
struct Contact
{
  HostName name;
  std::string address;

  auto operator<=>(const Contact&) const = default;
};

} // namespace masticstep
