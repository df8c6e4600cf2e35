#pragma once

#include <cstdint>

namespace masticstep::gateway {

// Maps the numbers of an engine's load reports to numbers that keep increasing across restarts of
// the engine. A restarted engine counts from 1 again, and the router ignores reports with lower
// numbers than it has seen.
class ReportSequence
{
public:
  // Returns a number that is higher than all previous ones if the report is newer.
  std::uint64_t Next(std::uint64_t aReported);

private:
  std::uint64_t mBase = 0; // offset of the engine's current run
  std::uint64_t mLast = 0; // highest number of the current run
};

} // namespace masticstep::gateway
