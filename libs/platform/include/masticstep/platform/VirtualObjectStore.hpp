#pragma once

#include "masticstep/platform/InMemoryPlatform.hpp"
#include "masticstep/platform/ObjectStore.hpp"

#include <map>
#include <optional>

namespace masticstep::platform {

// Behaviour of the simulated platform.
struct VirtualFaults
{
  Duration latency = Milliseconds(5); // half of it on each way
  std::uint32_t loseAnswers = 0;     // answers of the next n calls that are lost after they applied
  std::uint32_t loseRequests = 0;    // next n calls that are lost before they applied
  Duration timeout = Seconds(1);     // after which the sender of a lost call gets Unknown
  std::uint64_t writesPerSecond = 0; // calls over the rate are refused; 0: no limit
};

// Object store for tests and measurements that runs InMemoryPlatform on virtual time.
class VirtualObjectStore : public ObjectStore
{
public:
  void Submit(PlatformRequest aRequest, Callback aCallback) override;

  // Time of the next arrival of a request or reply.
  std::optional<Time> NextWakeUp() const;
  // Runs everything that is due up to and including this time.
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
  void Arrive(Event aEvent);
  bool OverRate(const PlatformRequest& aRequest);

  InMemoryPlatform mPlatform;
  VirtualFaults mFaults;
  Time mNow{};
  std::multimap<Time, Event> mEvents;
  Time mWindowStart{};
  std::uint64_t mWritesInWindow = 0;
};

} // namespace masticstep::platform
