#pragma once

#include "EngineSelector.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace masticstep::gateway {

// Position in the cache events of one engine. Numbers of the events that it returns grow even when
// the engine restarts and begins at 1 again; a jump in them stands for lost events.
class CacheEventReader
{
public:
  explicit CacheEventReader(EngineId aEngine);

  // Number after which the engine must be asked.
  std::uint64_t After() const { return mAfter; }
  // Returns the events of the engine's answer to a question for those after aAsked; nothing if it
  // cannot be read. Events that were returned before are left out.
  std::optional<std::vector<EngineCacheEvent>> Read(std::string_view aBody, std::uint64_t aAsked);
  // Takes the number of a load report, by which a restart of the engine is noticed.
  void OnLoadReport(std::uint64_t aSequence);
  // The answer is too large to be read. The next events are left out, so that a later answer fits.
  void SkipEvents();

private:
  void Restart();

  EngineId mEngine;
  std::uint64_t mBase = 0;  // added to the engine's numbers
  std::uint64_t mAfter = 0; // by the engine's numbers
  std::uint64_t mLastReport = 0;
};

} // namespace masticstep::gateway
