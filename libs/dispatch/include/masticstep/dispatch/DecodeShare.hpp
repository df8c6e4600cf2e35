#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <optional>

namespace masticstep::dispatch {

// Returns the initial share before any request has been measured. Assumes answers of about a second
// in one of the engine's slots, after a prefill of a few hundredths of a second.
double InitialDecodeShare(std::uint32_t aSlots);

// Tracks the measured share with hysteresis, since each change takes an engine out of service for
// seconds.
class DecodeShareController
{
public:
  explicit DecodeShareController(double aStart);

  // Returns the share to apply now.
  double Update(std::optional<double> aMeasured, Time aNow);

private:
  double mShare;
  std::optional<Time> mChangedAt;
  std::optional<Time> mDiffersSince; // start of the current deviation
};

} // namespace masticstep::dispatch
