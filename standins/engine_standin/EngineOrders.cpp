#include "engine_standin/EngineOrders.hpp"

#include <algorithm>

namespace masticstep::standins {

OrderVerdict EngineOrders::Submit(const EngineOrder& aOrder)
{
  const bool isOld = aOrder.fencing < mNewestFencing;
  if (isOld && mRefusesOldFencing) {
    ++mCounters.refusedFencing;
    return OrderVerdict::OldFencing;
  }
  if (mLast && mLast->order.id == aOrder.id) {
    mNewestFencing = std::max(mNewestFencing, aOrder.fencing);
    ++mCounters.repeated;
    return OrderVerdict::Repeated;
  }
  if (mLast && !mLast->isDone) {
    ++mCounters.conflicts;
    return OrderVerdict::Conflict;
  }
  mCounters.acceptedOldFencing += isOld ? 1 : 0;
  ++mCounters.accepted;
  mNewestFencing = std::max(mNewestFencing, aOrder.fencing);
  mLast = EngineOrderRecord{ aOrder, false };
  return OrderVerdict::Accepted;
}

void EngineOrders::Finish()
{
  if (mLast) {
    mLast->isDone = true;
  }
}

} // namespace masticstep::standins
