#pragma once

#include "masticstep/platform/InMemoryPlatform.hpp"
#include "masticstep/publication/GenerationTracker.hpp"
#include "masticstep/publication/Publisher.hpp"
#include "masticstep/testing/Explorer.hpp"

#include <map>
#include <string>
#include <vector>

namespace masticstep::publication {

// Reaches the planted faults, which production code cannot.
class PlantedFault
{
public:
  using PublisherFaults = Publisher::PlantedFaults;
  using TrackerFaults = GenerationTracker::PlantedFaults;
  static void Set(Publisher& aPublisher, const PublisherFaults& aFaults)
  {
    aPublisher.mFaults = aFaults;
  }
  static void Set(GenerationTracker& aTracker, const TrackerFaults& aFaults)
  {
    aTracker.mFaults = aFaults;
  }
};

struct WorldOptions
{
  std::vector<std::string> services; // what each publisher publishes
  std::uint32_t losses = 0;
  std::uint32_t kills = 0;
  std::uint32_t sightings = 0; // times that a daemon or peer reads the manifest
  PlantedFault::PublisherFaults publisherFaults = {};
  PlantedFault::TrackerFaults trackerFaults = {};
};

// Publishers with real state machines, the platform, and a daemon that gets manifests late, twice
// and out of order.
class PublicationWorld
{
public:
  enum class EventKind
  {
    Start,
    Tick,
    Kill,
    Apply,
    LoseCall,
    LoseAnswer,
    TimeOut, // the publisher gets Unknown; the call is still on its way
    Deliver,
    Sight, // somebody reads the manifest and sends it to the daemon
    Show,  // the daemon gets a manifest, which may be shown again
    Fetch  // the daemon gets a content that it misses
  };
  struct Event
  {
    EventKind kind = EventKind::Start;
    std::size_t index = 0;
  };

  explicit PublicationWorld(WorldOptions aOptions);

  std::vector<Event> Events() const;
  void Apply(const Event& aEvent);
  std::string Violation() const { return mViolation; }
  std::string Describe(const Event& aEvent) const;
  auto State() const
  {
    return std::tie(mRuns, mCalls, mReplies, mPlatform, mSightings, mTracker, mHistory,
                    mOptions.losses, mOptions.kills, mOptions.sightings, mViolation);
  }

private:
  struct Run
  {
    Publisher publisher;
    bool isStarted = false;
    bool isKilled = false;
    auto State() const { return std::tie(publisher, isStarted, isKilled); }
  };
  struct Call
  {
    std::size_t run = 0;
    platform::PlatformRequest request;
  };
  struct Reply
  {
    std::size_t run = 0;
    platform::PlatformReply reply;
  };
  struct PlatformState
  {
    platform::InMemoryPlatform platform;
    auto State() const { return std::tie(platform.All()); }
  };

  void Take(std::size_t aRun, std::optional<platform::PlatformRequest> aRequest);
  void ApplyCall(const Event& aEvent);
  void CheckPlatform();
  void CheckOutcome(std::size_t aRun);
  void CheckTracker(std::uint64_t aBefore);
  void Blame(const std::string& aViolation);

  WorldOptions mOptions;
  std::vector<Run> mRuns;
  std::vector<Call> mCalls;
  std::vector<Reply> mReplies;
  PlatformState mPlatform;
  std::vector<std::string> mSightings;
  GenerationTracker mTracker;
  std::map<std::string, std::uint64_t> mHistory; // generation by nonce of the run that made it
  Time mNow{};
  std::uint64_t mNewest = 0; // generation in the platform
  std::string mViolation;
};

} // namespace masticstep::publication
