#include "History.hpp"

#include <algorithm>
#include <utility>

namespace masticstep::soak {

namespace {

bool Overlaps(const Disturbance& aDisturbance, Time aFrom, Time aUntil)
{
  return aDisturbance.from <= aUntil && aDisturbance.until >= aFrom;
}

} // namespace

std::size_t History::AddCall(CallRecord aCall)
{
  mCallById[aCall.id] = mCalls.size();
  mCalls.push_back(std::move(aCall));
  return mCalls.size() - 1;
}

std::size_t History::AddArrival(ArrivalRecord aArrival)
{
  mArrivals.push_back(std::move(aArrival));
  return mArrivals.size() - 1;
}

std::size_t History::AddRun(RunRecord aRun)
{
  mRuns.push_back(std::move(aRun));
  return mRuns.size() - 1;
}

void History::AddConfiguration(ConfigurationRecord aRecord)
{
  mConfigurations.push_back(std::move(aRecord));
}

std::size_t History::AddStop(StopRecord aStop)
{
  mStops.push_back(aStop);
  return mStops.size() - 1;
}

std::size_t History::Disturb(Scope aScope, std::size_t aDaemon, Time aFrom)
{
  mDisturbances.push_back({ aScope, aDaemon, aFrom, Time::max() });
  return mDisturbances.size() - 1;
}

void History::EndDisturbance(std::size_t aIndex, Time aUntil)
{
  mDisturbances[aIndex].until = aUntil;
}

const CallRecord* History::FindCall(const std::string& aId) const
{
  const std::unordered_map<std::string, std::size_t>::const_iterator it = mCallById.find(aId);
  return it == mCallById.end() ? nullptr : &mCalls[it->second];
}

bool History::IsDaemonFaultFree(std::size_t aDaemon, Time aFrom, Time aUntil) const
{
  return std::none_of(mDisturbances.begin(), mDisturbances.end(), [&](const Disturbance& aOther) {
    const bool isOwn =
      (aOther.scope == Scope::Daemon || aOther.scope == Scope::Stop) && aOther.daemon == aDaemon;
    return (isOwn || aOther.scope == Scope::Store) && Overlaps(aOther, aFrom, aUntil);
  });
}

bool History::IsSystemFaultFree(Time aFrom, Time aUntil) const
{
  return std::none_of(mDisturbances.begin(), mDisturbances.end(), [&](const Disturbance& aOther) {
    return aOther.scope != Scope::Stop && Overlaps(aOther, aFrom, aUntil);
  });
}

} // namespace masticstep::soak
