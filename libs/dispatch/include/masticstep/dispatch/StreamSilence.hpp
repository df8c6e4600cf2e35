#pragma once

#include "masticstep/base/Time.hpp"

namespace masticstep::dispatch {

// Decides when a stream whose engine sends no events is offered to another engine. The silent
// engine may be sound, so it keeps the stream until another one has accepted it.
class StreamSilence
{
public:
  // Pause between two events that is tolerated.
  static constexpr Duration kTolerated = Milliseconds(1000);
  // Time until the next offer if no engine could start at once.
  static constexpr Duration kNoEnginePause = Milliseconds(100);
  // Time until the next offer after an engine did not accept the stream.
  static constexpr Duration kRejectedPause = Milliseconds(500);

  explicit StreamSilence(Time aBegin)
    : mNextOffer(aBegin + kTolerated)
  {
  }

  void OnEvent(Time aNow) { mNextOffer = aNow + kTolerated; }
  void OnNoEngine(Time aNow) { mNextOffer = aNow + kNoEnginePause; }
  void OnRejected(Time aNow) { mNextOffer = aNow + kRejectedPause; }

  Time NextOffer() const { return mNextOffer; }
  bool IsOfferDue(Time aNow) const { return aNow >= mNextOffer; }

private:
  Time mNextOffer;
};

} // namespace masticstep::dispatch
