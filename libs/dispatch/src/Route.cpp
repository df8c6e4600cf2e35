#include "masticstep/dispatch/Route.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>

namespace masticstep::dispatch {

Time CallerDeadline(const Route& aRoute, Time aSince)
{
  constexpr Duration kMinimumPatience = Seconds(2);
  constexpr std::int64_t kPatiencePerTarget = 4;
  constexpr std::int64_t kPatiencePerGapTarget = 8;
  return aSince + std::max({ kMinimumPatience, aRoute.target * kPatiencePerTarget,
                             aRoute.gapTarget * kPatiencePerGapTarget });
}

const ServiceName& ChooseService(const Route& aRoute, std::string_view aRequestId)
{
  std::uint64_t total = 0;
  for (const ServiceShare& share : aRoute.shares) {
    total += share.weight;
  }
  std::uint64_t point = total == 0 ? 0 : Hash64(aRequestId) % total;
  for (const ServiceShare& share : aRoute.shares) {
    if (point < share.weight) {
      return share.service;
    }
    point -= share.weight;
  }
  return aRoute.shares.front().service;
}

} // namespace masticstep::dispatch
