#pragma once

#include "masticstep/platform/InMemoryPlatform.hpp"
#include "masticstep/publication/GenerationTracker.hpp"
#include "masticstep/publication/Publisher.hpp"
#include "masticstep/testing/Explorer.hpp"

#include <map>
#include <string>
#include <vector>

namespace masticstep::publication {

// Sets the protocol faults, which production code cannot access.
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

struct ModelOptions
{
  std::vector<std::string> services; // service that each run publishes
  std::uint32_t losses = 0;          // of platform requests or replies
  std::uint32_t kills = 0;
  std::uint32_t manifestReads = 0; // manifest reads by the daemon or its peers
  PlantedFault::PublisherFaults publisherFaults = {};
  PlantedFault::TrackerFaults trackerFaults = {};
};

// Model for state space exploration: publish runs with the production Publisher, the platform, and
// a daemon with the production GenerationTracker that receives manifests late, repeatedly and out
// of order.
class PublicationModel
{
public:
  enum class EventKind
  {
    Start,
    Tick,
    Kill,
    Apply,
    LoseRequest,
    LoseReply,
    TimeOut, // the publisher gets Unknown; the request is still in flight
    Deliver,
    ReadManifest,    // the daemon or a peer reads the manifest, which is delivered later
    DeliverManifest, // the daemon receives a manifest, which may be delivered again
    FetchContent     // the daemon receives a missing content
  };
  struct Event
  {
    EventKind kind = EventKind::Start;
    std::size_t index = 0;
  };

  explicit PublicationModel(ModelOptions aOptions);

  std::vector<Event> Events() const;
  void Apply(const Event& aEvent);
  std::string Violation() const { return mViolation; }
  std::string Describe(const Event& aEvent) const;
  auto State() const
  {
    return std::tie(mRuns, mPendingRequests, mPendingReplies, mPlatform, mReadManifests, mTracker,
                    mGenerationByNonce, mOptions.losses, mOptions.kills, mOptions.manifestReads,
                    mViolation);
  }

private:
  struct PublishRun
  {
    Publisher publisher;
    bool isStarted = false;
    bool isKilled = false;
    auto State() const { return std::tie(publisher, isStarted, isKilled); }
  };
  struct PendingRequest
  {
    std::size_t run = 0;
    platform::PlatformRequest request;
  };
  struct PendingReply
  {
    std::size_t run = 0;
    platform::PlatformReply reply;
  };
  struct PlatformState
  {
    platform::InMemoryPlatform platform;
    auto State() const { return std::tie(platform.All()); }
  };

  void HandlePublisherOutput(std::size_t aRun, std::optional<platform::PlatformRequest> aRequest);
  void ApplyPlatformEvent(const Event& aEvent);
  void CheckPlatform();
  void CheckOutcome(std::size_t aRun);
  void CheckTracker(std::uint64_t aPreviousGeneration);
  void RecordViolation(const std::string& aViolation);

  ModelOptions mOptions;
  std::vector<PublishRun> mRuns;
  std::vector<PendingRequest> mPendingRequests;
  std::vector<PendingReply> mPendingReplies;
  PlatformState mPlatform;
  std::vector<std::string> mReadManifests;
  GenerationTracker mTracker;
  // Published generations, by the nonce of the run that published them.
  std::map<std::string, std::uint64_t> mGenerationByNonce;
  Time mNow{};
  std::uint64_t mPublishedGeneration = 0; // in the stored manifest
  std::string mViolation;
};

} // namespace masticstep::publication
