#include "masticstep/dispatch/RouteTable.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::dispatch {

namespace {

// Returns why the route is invalid, or an empty string.
std::string ValidationError(const Route& aRoute)
{
  if (aRoute.shares.empty()) {
    return "route '" + aRoute.name + "' has no service";
  }
  const std::string& prefix = aRoute.pathPrefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    return "route '" + aRoute.name + "': prefix '" + prefix + "' must begin and end with a slash";
  }
  if (aRoute.timeout <= Duration::zero()) {
    return "route '" + aRoute.name + "': timeout must be positive";
  }
  return {};
}

} // namespace

double EngineTraits::TransferSeconds(std::uint32_t aTokens) const
{
  constexpr double kBitsPerMegabit = 1e6;
  constexpr double kBitsPerByte = 8.0;
  if (linkMegabitsPerSecond <= 0.0) {
    return 0.0;
  }
  return aTokens * kvBytesPerToken * kBitsPerByte / (linkMegabitsPerSecond * kBitsPerMegabit);
}

RouteTable::RouteTable(Parts aParts)
  : mParts(std::move(aParts))
{
}

Result<std::shared_ptr<const RouteTable>, std::string> RouteTable::Create(Parts aParts)
{
  for (const Route& route : aParts.routes) {
    std::string problem = ValidationError(route);
    if (!problem.empty()) {
      return Failure(std::move(problem));
    }
  }
  const std::shared_ptr<RouteTable> table(new RouteTable(std::move(aParts)));
  const std::vector<Route>& routes = table->mParts.routes;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    table->mByHost[routes[i].host].push_back(i);
  }
  for (auto& [host, indices] : table->mByHost) {
    std::stable_sort(indices.begin(), indices.end(),
                     [&routes](std::size_t aLeft, std::size_t aRight) {
                       return routes[aLeft].pathPrefix.size() > routes[aRight].pathPrefix.size();
                     });
  }
  return std::shared_ptr<const RouteTable>(table);
}

const Route* RouteTable::Match(std::string_view aHost, std::string_view aPath) const
{
  const auto found = mByHost.find(std::string(aHost));
  if (found == mByHost.end()) {
    return nullptr;
  }
  for (const std::size_t index : found->second) {
    if (aPath.starts_with(mParts.routes[index].pathPrefix)) {
      return &mParts.routes[index];
    }
  }
  return nullptr;
}

const ServiceTraits* RouteTable::FindService(const ServiceName& aName) const
{
  const auto found =
    std::find_if(mParts.services.begin(), mParts.services.end(),
                 [&aName](const ServiceTraits& aService) { return aService.name == aName; });
  return found == mParts.services.end() ? nullptr : &*found;
}

bool RouteTable::operator==(const RouteTable& aOther) const
{
  const bool hasSameAccounts =
    mParts.accounts == aOther.mParts.accounts ||
    (mParts.accounts && aOther.mParts.accounts && *mParts.accounts == *aOther.mParts.accounts);
  return hasSameAccounts && mParts.version == aOther.mParts.version &&
         mParts.routes == aOther.mParts.routes && mParts.services == aOther.mParts.services &&
         mParts.limits == aOther.mParts.limits;
}

} // namespace masticstep::dispatch
