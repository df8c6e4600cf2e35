#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"

#include <cstdint>
#include <unordered_map>

namespace masticstep::dispatch {

// Load that a backend server states in its answers.
struct LoadSample
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;

  bool operator==(const LoadSample&) const = default;
};

// Work that is believed to lie at one backend server: what this daemon sent, which it knows exactly,
// and what the other daemons sent, by the backend server's latest statement.
class BackendLoad
{
public:
  // A request that needs the server for about aCost was sent.
  void OnSent(RequestId aId, Duration aCost, Time aNow);
  void OnDone(RequestId aId, Time aNow);
  // The sample came with an answer; the request that it answers counts as done already.
  void OnSample(const LoadSample& aSample, Time aNow);

  // Returns how long work sent now would wait for work sent before.
  Duration Wait(Time aNow) const;
  std::size_t Own() const { return mOwn.size(); }
  // Expected number of requests of other daemons.
  double Others(Time aNow) const;

private:
  std::unordered_map<RequestId, Duration> mOwn;
  Time mBusyUntil{}; // by own work
  double mOthers = 0.0;
  Time mSampled{};
  double mMeanCostSeconds = 0.0;
};

} // namespace masticstep::dispatch
