#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <optional>

namespace masticstep::dispatch {

// Returns how many requests an engine with so many slots decodes at the same time to advantage.
// Each running request lengthens the steps of all others, so beyond some tens of them another one
// makes all answers slower and the engine hardly more productive.
std::uint32_t EffectiveSlots(std::uint32_t aSlots);

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
