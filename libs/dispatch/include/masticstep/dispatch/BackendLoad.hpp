#pragma once

#include "masticstep/base/Identifier.hpp"
#include "masticstep/base/Time.hpp"
#include "masticstep/dispatch/PeerWork.hpp"

#include <cstdint>
#include <unordered_map>

namespace masticstep::dispatch {

// Load that a backend server reports in its responses.
struct LoadSample
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  // How long work takes at this moment; 100 is usual. Placement does not use it (docs/ROUTING.md).
  std::uint32_t pacePercent = 100;

  bool operator==(const LoadSample&) const = default;
};

// Estimated outstanding work at one backend server: exact for requests of this daemon, and derived
// from the backend server's latest load sample for requests of other daemons.
class BackendLoad
{
public:
  // Records a request whose prefill is expected to start after aWait and to take aPrefillTime.
  // aTokens is the size of the prompt that the server keeps in its KV cache while decoding.
  void OnSent(RequestId aId, Duration aWait, Duration aPrefillTime, std::uint32_t aTokens,
              Time aNow);
  void OnDone(RequestId aId);
  // The sample came with an answer; the request that it answers counts as done already.
  void OnSample(const LoadSample& aSample, Time aNow);

  // Outstanding work of this daemon.
  OutstandingWork LocalWork(Time aNow) const;
  // Expected number of requests of other daemons, estimated from the latest sample.
  double RemoteRequests(Time aNow) const;
  // Moving average of the prefill time of this daemon's requests.
  Duration MeanPrefillTime() const { return FromSeconds(mMeanPrefillSeconds); }

private:
  struct SentRequest
  {
    // Expected remaining prefill time. A request that is overdue is queued behind work unknown to
    // this daemon, so its full prefill time still counts.
    Duration RemainingPrefillTime(Time aNow) const;

    Duration prefillTime{ 0 };
    std::uint32_t tokens = 0;
    Time prefillEnd{}; // as expected at the time of sending
  };

  std::unordered_map<RequestId, SentRequest> mLocalRequests;
  std::uint64_t mLocalTokens = 0; // sum over mLocalRequests
  double mRemoteRequests = 0.0;
  Time mSampledAt{};
  double mMeanPrefillSeconds = 0.0;
};

} // namespace masticstep::dispatch
