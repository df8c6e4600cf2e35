#include "engine_standin/EngineOrders.hpp"

#include <algorithm>

namespace masticstep::standins {

OrderOutcome EngineOrders::Submit(const EngineOrder& aOrder)
{
  const bool isOldFencing = aOrder.fencing < mNewestFencing;
  if (isOldFencing && mRefusesOldFencing) {
    ++mCounters.refusedFencing;
    return OrderOutcome::OldFencing;
  }
  if (mLast && mLast->order.id == aOrder.id) {
    mNewestFencing = std::max(mNewestFencing, aOrder.fencing);
    ++mCounters.repeated;
    return OrderOutcome::Repeated;
  }
  if (mLast && !mLast->isDone) {
    ++mCounters.conflicts;
    return OrderOutcome::Conflict;
  }
  mCounters.acceptedOldFencing += isOldFencing ? 1 : 0;
  ++mCounters.accepted;
  mNewestFencing = std::max(mNewestFencing, aOrder.fencing);
  mLast = EngineOrderRecord{ aOrder, false };
  return OrderOutcome::Accepted;
}

void EngineOrders::Finish()
{
  if (mLast) {
    mLast->isDone = true;
  }
}

} // namespace masticstep::standins
