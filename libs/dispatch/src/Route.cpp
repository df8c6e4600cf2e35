#include "masticstep/dispatch/Route.hpp"

#include "masticstep/base/Hash.hpp"

#include <algorithm>

namespace masticstep::dispatch {

Time CallerDeadline(const Route& aRoute, Time aSince)
{
  constexpr Duration kMinimumCallerTimeout = Seconds(2);
  constexpr std::int64_t kCallerTimeoutPerTarget = 4;
  constexpr std::int64_t kCallerTimeoutPerGapTarget = 8;
  return aSince + std::max({ kMinimumCallerTimeout, aRoute.target * kCallerTimeoutPerTarget,
                             aRoute.gapTarget * kCallerTimeoutPerGapTarget });
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

std::vector<ServiceName> ServicesOf(const Route& aRoute, const ServiceName& aFirst)
{
  std::vector<ServiceName> services{ aFirst };
  for (const ServiceShare& share : aRoute.shares) {
    if (share.weight > 0 && share.service != aFirst) {
      services.push_back(share.service);
    }
  }
  return services;
}

} // namespace masticstep::dispatch
