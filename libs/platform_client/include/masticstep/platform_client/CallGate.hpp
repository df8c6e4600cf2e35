#pragma once

#include "masticstep/base/Random.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::platform_client {

struct GateOptions
{
  // Share of one daemon of the platform's 2,000 reads a second, with room for its shards' writes.
  double callsPerSecond = 200.0;
  double burst = 200.0;
  std::uint32_t failuresBeforeBackoff = 3; // one lost answer must not stop the other calls
  Duration firstBackoff = Milliseconds(50);
  Duration longestBackoff = Seconds(2);
};

// Call budget and backoff of the calls to the platform. Without I/O, so that it runs on any clock.
class CallGate
{
public:
  CallGate(GateOptions aOptions, std::uint64_t aSeed);

  // Returns whether a call may be sent now, and takes it from the budget.
  bool Admit(Time aNow);
  void OnAnswer();
  // Counts a call without answer or with an answer of an outage. From the stated number of
  // failures in a row on, calls are held back for a growing time with jitter.
  void OnFailure(Time aNow);

private:
  GateOptions mOptions;
  Random mRandom;
  double mTokens;
  Time mFilled{};
  Time mClosedUntil{};
  std::uint32_t mFailures = 0;
};

} // namespace masticstep::platform_client
