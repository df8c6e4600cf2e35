#include "masticstep/dispatch/RequestPriority.hpp"

#include <algorithm>

namespace masticstep::dispatch {

namespace {

// Levels of an engine for each account priority; routes of lower priority share the last one.
constexpr unsigned kRouteLevels = 3;

} // namespace

RequestPriority::RequestPriority(std::uint8_t aRoute, std::optional<std::uint8_t> aAccount)
  : mRoute(aRoute)
  , mAccount(aAccount)
{
}

std::uint8_t RequestPriority::EngineLevel() const
{
  const unsigned route = std::min<unsigned>(mRoute, kRouteLevels - 1);
  const unsigned level = mAccount ? *mAccount * kRouteLevels + route : mRoute;
  return static_cast<std::uint8_t>(std::min<unsigned>(level, kLowestEngineLevel));
}

std::strong_ordering RequestPriority::operator<=>(const RequestPriority& aOther) const
{
  const std::strong_ordering byAccount =
    mAccount.value_or(mRoute) <=> aOther.mAccount.value_or(aOther.mRoute);
  return byAccount != 0 ? byAccount : mRoute <=> aOther.mRoute;
}

bool RequestPriority::operator==(const RequestPriority& aOther) const
{
  return (*this <=> aOther) == 0;
}

} // namespace masticstep::dispatch
