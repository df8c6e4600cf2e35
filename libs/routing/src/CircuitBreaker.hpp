#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::routing {

// Ejects an engine after consecutive failures and readmits it after successful probes, as in the
// paper "Circuit Breaker (Guarded State family)". The state is computed on read, without a timer.
// Each transition starts a new generation. Outcomes of older generations are ignored, because they
// say nothing about the engine's current health.
class CircuitBreaker
{
public:
  enum class State : std::uint8_t
  {
    Closed,
    Open,
    HalfOpen
  };

  bool IsClosed() const { return mIsClosed; }
  State StateAt(Time aNow) const;
  // Returns whether one more request may be sent.
  bool Allows(Time aNow) const;
  // Counts a request that is about to be sent and returns the generation to report its outcome
  // with.
  std::uint32_t OnSent(Time aNow);
  void OnSuccess(std::uint32_t aGeneration, Time aNow);
  void OnFailure(std::uint32_t aGeneration, Time aNow);
  // The request ended without an indication of the engine's health.
  void OnAbandoned(std::uint32_t aGeneration);

private:
  void Open(Time aNow);

  bool mIsClosed = true;
  std::uint32_t mGeneration = 1;
  std::uint32_t mFailures = 0;
  std::uint32_t mProbes = 0;
  std::uint32_t mSuccesses = 0;
  Time mOpenUntil{};
  Duration mOpenDuration{ 0 };
};

} // namespace masticstep::routing
