#pragma once

#include "masticstep/base/Time.hpp"

#include <cstdint>

namespace masticstep::routing {

// Ejects an engine after consecutive failures and lets counted probes decide on its return, after
// the paper "Circuit Breaker (Guarded State family)". The state is derived on read, without a
// timer. Each transition starts a new generation; an outcome of an older one says nothing about the
// engine's present health and is ignored.
class EngineBreaker
{
public:
  enum class Phase : std::uint8_t
  {
    Closed,
    Open,
    HalfOpen
  };

  bool IsClosed() const { return mIsClosed; }
  Phase PhaseAt(Time aNow) const;
  // Whether one more request may be sent.
  bool Allows(Time aNow) const;
  // Counts a request about to be sent and returns the generation that its outcome must carry.
  std::uint32_t OnSent(Time aNow);
  void OnSuccess(std::uint32_t aGeneration, Time aNow);
  void OnFailure(std::uint32_t aGeneration, Time aNow);
  // The request ended without saying anything about the engine's health.
  void OnAbandoned(std::uint32_t aGeneration);

private:
  void Open(Time aNow);

  bool mIsClosed = true;
  std::uint32_t mGeneration = 1;
  std::uint32_t mFailures = 0;
  std::uint32_t mProbes = 0;
  std::uint32_t mSuccesses = 0;
  Time mOpenUntil{};
  Duration mPause{ 0 };
};

} // namespace masticstep::routing
