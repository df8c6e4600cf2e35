#pragma once

#include "masticstep/platform/InMemoryPlatform.hpp"
#include "masticstep/platform/ObjectStore.hpp"

#include <map>
#include <optional>

namespace masticstep::platform {

// Latency, injected faults and rate limit of the simulated platform.
struct VirtualFaults
{
  Duration latency = Milliseconds(5); // round trip; half in each direction
  std::uint32_t loseAnswers = 0;      // next n calls are applied, but their replies lost
  std::uint32_t loseRequests = 0;     // next n calls are lost before they are applied
  Duration timeout = Seconds(1);      // a lost call completes with Unknown after this time
  std::uint64_t writesPerSecond = 0;  // excess writes are refused; 0: no limit
};

// Object store for tests and benchmarks that runs InMemoryPlatform on virtual time.
class VirtualObjectStore : public ObjectStore
{
public:
  void Submit(PlatformRequest aRequest, Callback aCallback) override;

  // Time at which the next request or reply arrives.
  std::optional<Time> NextWakeUp() const;
  // Processes all events that are due up to and including this time.
  void AdvanceTo(Time aNow);
  Time Now() const { return mNow; }

  InMemoryPlatform& Platform() { return mPlatform; }
  VirtualFaults& Faults() { return mFaults; }

private:
  struct Event
  {
    bool arrivesAtPlatform = false;
    PlatformRequest request;
    PlatformReply reply;
    Callback callback;
  };

  void Schedule(Time aTime, Event aEvent);
  void DeliverRequest(Event aEvent);
  bool ExceedsWriteRate(const PlatformRequest& aRequest);

  InMemoryPlatform mPlatform;
  VirtualFaults mFaults;
  Time mNow{};
  std::multimap<Time, Event> mEvents;
  Time mWindowStart{};
  std::uint64_t mWritesInWindow = 0;
};

} // namespace masticstep::platform
