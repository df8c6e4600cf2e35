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
  bool isStored = false; // stored if true, removed otherwise
  std::uint64_t hash = 0;
  Time visibleAt;
};

// Log of prefix cache changes. Events become visible after a delay, and some are lost.
class CacheEventLog
{
public:
  CacheEventLog(std::uint64_t aSeed, Duration aDelay, double aLoss);

  void SetFaults(Duration aDelay, double aLoss);
  Duration Delay() const { return mDelay; }
  double Loss() const { return mLoss; }
  void Append(bool aIsStored, std::uint64_t aHash, Time aNow);
  // Returns the visible events after the sequence number and sets aNext to the last number
  // returned, or to aSequence if there is none. Lost events leave gaps in the numbers.
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
