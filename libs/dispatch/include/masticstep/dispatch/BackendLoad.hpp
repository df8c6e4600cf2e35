#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/dispatch/PeerWork.hpp"

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

// OutstandingWork that is believed to lie at one backend server: what this daemon sent, which it
// knows exactly, and what the other daemons sent, by the backend server's latest statement.
class BackendLoad
{
public:
  // A request was sent that the server begins to read after aWait and reads for aPrefillTime, or
  // whose answer keeps aTokens of a prompt in its memory.
  void OnSent(RequestId aId, Duration aWait, Duration aPrefillTime, std::uint32_t aTokens,
              Time aNow);
  void OnDone(RequestId aId);
  // The sample came with an answer; the request that it answers counts as done already.
  void OnSample(const LoadSample& aSample, Time aNow);

  // OutstandingWork that this daemon sent.
  OutstandingWork LocalWork(Time aNow) const;
  // Expected number of requests of other daemons, by the latest sample.
  double RemoteRequests(Time aNow) const;
  // Time that the server reads on average for one request of this daemon.
  Duration MeanPrefillTime() const { return FromSeconds(mMeanPrefillSeconds); }

private:
  struct SentRequest
  {
    // Reading that is left. What should have ended long ago waits behind work that is not known, so
    // it still lies at the server.
    Duration RemainingPrefillTime(Time aNow) const;

    Duration prefillTime{ 0 };
    std::uint32_t tokens = 0;
    Time prefillEnd{}; // as expected when it was sent
  };

  std::unordered_map<RequestId, SentRequest> mLocalRequests;
  std::uint64_t mLocalTokens = 0; // of mLocalRequests
  double mRemoteRequests = 0.0;
  Time mSampledAt{};
  double mMeanPrefillSeconds = 0.0;
};

} // namespace masticstep::dispatch
