#pragma once

#include "LatencyModel.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/routing/LoadReport.hpp"

#include <deque>

namespace masticstep::routing {

// Estimated load of one engine: the newest report plus all changes made by this router after the
// report was taken.
class LoadEstimate
{
public:
  explicit LoadEstimate(std::uint32_t aTotalBlocks);

  // Adds a change caused by this router: a dispatch, a first token or the end of a request.
  void Add(const EngineLoad& aChange, Time aNow);
  // Applies a report unless a newer one has been applied. Returns false if the report is outdated.
  bool OnReport(const LoadReport& aReport, double aMeanPromptTokens, Time aNow);
  void SetTotalBlocks(std::uint32_t aBlocks) { mTotalBlocks = aBlocks; }

  EngineLoad Load() const;
  double TotalBlocks() const { return mTotalBlocks; }
  std::size_t ChangeCount() const { return mChanges.size(); }

private:
  struct Change
  {
    Time time;
    EngineLoad load;
  };

  double mTotalBlocks;
  std::uint64_t mSequence = 0;
  EngineLoad mReported;
  EngineLoad mChangeSinceReport;
  std::deque<Change> mChanges;
};

} // namespace masticstep::routing
