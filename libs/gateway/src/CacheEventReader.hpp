#pragma once

#include "EngineSelector.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace masticstep::gateway {

// Parses the cache events of one engine and tracks the position in them. The numbers of the
// returned events keep increasing when the engine restarts and counts from 1 again; a gap in the
// numbers means that events were lost.
class CacheEventReader
{
public:
  explicit CacheEventReader(EngineId aEngine);

  // Number after which to request events from the engine.
  std::uint64_t After() const { return mAfter; }
  // Parses the engine's response to a request for the events after aRequestedAfter. Returns nothing
  // if it is malformed. Events that were returned before are left out.
  std::optional<std::vector<EngineCacheEvent>> Parse(std::string_view aBody,
                                                     std::uint64_t aRequestedAfter);
  // Detects a restart of the engine from the number of a load report.
  void OnLoadReport(std::uint64_t aSequence);
  // Skips the next events after a response above the size limit, so that a later response fits.
  void SkipEvents();

private:
  void OnEngineRestart();

  EngineId mEngine;
  std::uint64_t mBase = 0;  // offset added to the engine's numbers
  std::uint64_t mAfter = 0; // in the engine's numbering
  std::uint64_t mLastReport = 0;
};

} // namespace masticstep::gateway
