#include "masticstep/dispatch/DaemonFleet.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::dispatch {

namespace {

// Daemons that share a limit of less than one request per second. Each may be one request early,
// so their number is kept below what a short excess over the limit may be.
constexpr std::size_t kMinimumSharers = 3;
// Assumed until the daemons are known.
constexpr double kUnknownDaemons = 64.0;
// Part of the limit for probes by all daemons together, and the least number of them.
constexpr double kProbeShare = 0.2;
constexpr double kMinimumProbesPerSecond = 0.1;
constexpr Duration kMinimumProbeInterval = Seconds(10);

} // namespace

void DaemonFleet::Set(HostName aOwn, std::vector<HostName> aAll)
{
  mOwn = std::move(aOwn);
  mAll = std::move(aAll);
}

RequestAllotment DaemonFleet::AllotmentOf(const BackendServerName& aBackend,
                                          double aPerSecond) const
{
  const double daemons = mAll.empty() ? kUnknownDaemons : static_cast<double>(mAll.size());
  const double probesPerSecond = std::max(kProbeShare * aPerSecond, kMinimumProbesPerSecond);
  RequestAllotment allotment;
  allotment.probeInterval = std::max(FromSeconds(daemons / probesPerSecond), kMinimumProbeInterval);
  if (mAll.empty()) {
    allotment.perSecond = aPerSecond / daemons;
    return allotment;
  }
  const double sharers =
    std::min(daemons, static_cast<double>(kMinimumSharers) + std::min(aPerSecond, daemons));
  const std::uint64_t seed = Hash64(aBackend.Text());
  const std::uint64_t own = Hash64(mOwn.Text(), seed);
  const std::ptrdiff_t rank =
    std::count_if(mAll.begin(), mAll.end(),
                  [own, seed](const HostName& aHost) { return Hash64(aHost.Text(), seed) < own; });
  const std::size_t wholeSharers = static_cast<std::size_t>(sharers);
  if (static_cast<std::size_t>(rank) < wholeSharers) {
    allotment.perSecond = aPerSecond / static_cast<double>(wholeSharers);
  }
  return allotment;
}

} // namespace masticstep::dispatch
