#include "RejectedEntries.hpp"

#include "masticstep/telemetry/Log.hpp"

#include <utility>

namespace masticstep::relay {

using telemetry::Level;

namespace {

// Entries may hold texts of any length.
constexpr std::size_t kMaximumLoggedBytes = 200;

} // namespace

RejectedEntries::RejectedEntries(telemetry::Metrics& aMetrics)
  : mCount(aMetrics.GetCounter({ "masticstep_rejected_entries_total", {}, {} }))
{
}

void RejectedEntries::Apply(const BackendUpdate& aUpdate, bool aIsSnapshot)
{
  const std::map<BackendServerName, platform::Version> before = mReported;
  if (aIsSnapshot) {
    mReported.clear();
  }
  for (const BackendChange& change : aUpdate.changes) {
    const auto reported = before.find(change.id);
    ApplyChange(change, reported != before.end() && reported->second == change.revision);
  }
  ApplyUnreadable(aUpdate.unreadable, aIsSnapshot);
}

void RejectedEntries::ApplyChange(const BackendChange& aChange, bool aIsReported)
{
  if (aChange.problem.empty()) {
    mReported.erase(aChange.id);
    return;
  }
  mReported[aChange.id] = aChange.revision;
  if (aIsReported) {
    return;
  }
  telemetry::Log(Level::Warning, "entry of a backend rejected",
                 { { "backend", aChange.id.Text().substr(0, kMaximumLoggedBytes) },
                   { "revision", aChange.revision.value },
                   { "problem", aChange.problem.substr(0, kMaximumLoggedBytes) } });
  mCount->Add();
}

void RejectedEntries::ApplyUnreadable(std::size_t aCount, bool aIsSnapshot)
{
  const std::size_t reported = aIsSnapshot ? std::exchange(mListedUnreadable, aCount) : 0;
  if (aCount <= reported) {
    return;
  }
  telemetry::Log(Level::Warning, "entries without a readable name skipped",
                 { { "count", static_cast<std::uint64_t>(aCount) } });
  mCount->Add(aCount - reported);
}

} // namespace masticstep::relay
