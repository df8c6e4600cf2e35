#include "engine_standin/CacheEventLog.hpp"

namespace masticstep::standins {

namespace {

// Two complete fills of a cache of 2,000 blocks. Readers see discarded events as a gap.
constexpr std::size_t kMaxEvents = 4000;

} // namespace

CacheEventLog::CacheEventLog(std::uint64_t aSeed, Duration aDelay, double aLoss)
  : mRandom(aSeed)
  , mDelay(aDelay)
  , mLoss(aLoss)
{
}

void CacheEventLog::SetFaults(Duration aDelay, double aLoss)
{
  mDelay = aDelay;
  mLoss = aLoss;
}

void CacheEventLog::Append(bool aIsStored, std::uint64_t aHash, Time aNow)
{
  ++mLast;
  if (mRandom.Chance(mLoss)) {
    return;
  }
  mEvents.push_back({ mLast, aIsStored, aHash, aNow + mDelay });
  if (mEvents.size() > kMaxEvents) {
    mEvents.pop_front();
  }
}

std::vector<CacheEventRecord> CacheEventLog::After(std::uint64_t aSequence, Time aNow,
                                                   std::uint64_t& aNext) const
{
  std::vector<CacheEventRecord> events;
  aNext = aSequence;
  for (const CacheEventRecord& event : mEvents) {
    if (event.sequence <= aSequence) {
      continue;
    }
    if (event.visibleAt > aNow) {
      break;
    }
    events.push_back(event);
    aNext = event.sequence;
  }
  return events;
}

} // namespace masticstep::standins
