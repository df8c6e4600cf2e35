#pragma once

#include "CostModel.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/routing/LoadReport.hpp"

#include <deque>

namespace masticstep::routing {

// Believed load of one engine: the newest report plus every own change made after it was taken.
class LoadBelief
{
public:
  explicit LoadBelief(std::uint32_t aTotalBlocks);

  // Adds an own change of the load: a dispatch, a first token or an end.
  void Add(const EngineLoad& aChange, Time aNow);
  // Takes a report over unless a newer one is known. Returns false if it was out of date.
  bool OnReport(const LoadReport& aReport, double aMeanPromptTokens, Time aNow);
  void SetTotalBlocks(std::uint32_t aBlocks) { mTotalBlocks = aBlocks; }

  EngineLoad Load() const;
  double TotalBlocks() const { return mTotalBlocks; }
  std::size_t Changes() const { return mChanges.size(); }

private:
  struct Change
  {
    Time time;
    EngineLoad load;
  };

  double mTotalBlocks;
  std::uint64_t mSequence = 0;
  EngineLoad mReported;
  EngineLoad mSince;
  std::deque<Change> mChanges;
};

} // namespace masticstep::routing
