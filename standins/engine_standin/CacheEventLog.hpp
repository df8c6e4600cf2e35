#pragma once

#include "masticstep/base/Random.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace masticstep::standins {

struct CacheEventRecord
{
  std::uint64_t sequence = 0;
  bool isStored = false; // else removed
  std::uint64_t hash = 0;
  Time visibleAt;
};

// Changes of the prefix cache, published late and with gaps.
class CacheEventLog
{
public:
  CacheEventLog(std::uint64_t aSeed, Duration aDelay, double aLoss);

  void SetFaults(Duration aDelay, double aLoss);
  Duration Delay() const { return mDelay; }
  double Loss() const { return mLoss; }
  void Append(bool aIsStored, std::uint64_t aHash, Time aNow);
  // Returns the events after the sequence number that are visible, and moves aNext to the newest
  // visible number. Lost events leave a gap in the numbers.
  std::vector<CacheEventRecord> After(std::uint64_t aSequence, Time aNow,
                                      std::uint64_t& aNext) const;

private:
  Random mRandom;
  Duration mDelay;
  double mLoss;
  std::uint64_t mLast = 0;
  std::deque<CacheEventRecord> mEvents;
};

} // namespace masticstep::standins
