#pragma once

#include "masticstep/relay/PlatformFeed.hpp"
#include "masticstep/telemetry/Metrics.hpp"

#include <map>

namespace masticstep::relay {

// Logs and counts the listed entries that name no usable backend server: each once for every change
// of the entry, however often it is listed.
class RejectedEntries
{
public:
  // aMetrics must outlive this object.
  explicit RejectedEntries(telemetry::Metrics& aMetrics);

  // Takes a full list or the changes that a watch returned.
  void Apply(const BackendUpdate& aUpdate, bool aIsSnapshot);

private:
  void ApplyChange(const BackendChange& aChange, bool aIsReported);
  void ApplyUnreadable(std::size_t aCount, bool aIsSnapshot);

  const std::shared_ptr<telemetry::Counter> mCount;
  std::map<BackendServerName, platform::Version> mReported; // versions of the rejected entries
  std::size_t mListedUnreadable = 0;                        // in the latest full list
};

} // namespace masticstep::relay
