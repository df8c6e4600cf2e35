#include "PublicationModel.hpp"

#include <array>
#include <utility>

namespace masticstep::publication {

using platform::PlatformReply;

namespace {

constexpr std::array<const char*, 11> kEventNames{
  "start",        "tick",     "kill",    "apply",         "lose request",
  "lose reply",   "time out", "deliver", "read manifest", "deliver manifest",
  "fetch content"
};

// Each run publishes different files, so that no two contents have the same digest.
ServiceContent MakeContent(const std::string& aService, std::size_t aRun)
{
  const std::string name = aService + std::to_string(aRun) + ".accounts.json";
  return { ServiceName{ aService }, { { name, R"({"accounts": []})" } } };
}

std::string MakeNonce(std::size_t aRun)
{
  return "p" + std::to_string(aRun);
}

template <class T>
T RemoveAt(std::vector<T>& aItems, std::size_t aIndex)
{
  T item = std::move(aItems[aIndex]);
  aItems.erase(aItems.begin() + static_cast<std::ptrdiff_t>(aIndex));
  return item;
}

} // namespace

PublicationModel::PublicationModel(ModelOptions aOptions)
  : mOptions(std::move(aOptions))
{
  for (std::size_t i = 0; i < mOptions.services.size(); ++i) {
    Publisher publisher(
      { { MakeContent(mOptions.services[i], i) }, MakeNonce(i), Time{ Seconds(60) } });
    PlantedFault::Set(publisher, mOptions.publisherFaults);
    mRuns.push_back({ std::move(publisher), false, false });
  }
  PlantedFault::Set(mTracker, mOptions.trackerFaults);
}

std::vector<PublicationModel::Event> PublicationModel::Events() const
{
  std::vector<Event> events;
  const auto add = [&events](EventKind aKind, std::size_t aIndex, bool aEnabled = true) {
    if (aEnabled) {
      events.push_back({ aKind, aIndex });
    }
  };
  for (std::size_t i = 0; i < mRuns.size(); ++i) {
    const PublishRun& run = mRuns[i];
    const bool isRunning = run.isStarted && !run.isKilled && !run.publisher.Outcome();
    add(EventKind::Start, i, !run.isStarted);
    // Only retries are explored, not the deadline of the run.
    const std::optional<Time> next = run.publisher.NextWakeUp();
    add(EventKind::Tick, i, isRunning && next && *next < Time{ Seconds(60) });
    add(EventKind::Kill, i, isRunning && mOptions.kills > 0);
  }
  for (std::size_t i = 0; i < mPendingRequests.size(); ++i) {
    add(EventKind::Apply, i);
    add(EventKind::LoseRequest, i, mOptions.losses > 0);
    add(EventKind::LoseReply, i, mOptions.losses > 0);
    add(EventKind::TimeOut, i, mOptions.losses > 0);
  }
  for (std::size_t i = 0; i < mPendingReplies.size(); ++i) {
    add(EventKind::Deliver, i);
  }
  add(EventKind::ReadManifest, 0, mOptions.manifestReads > 0 && mPublishedGeneration > 0);
  for (std::size_t i = 0; i < mReadManifests.size(); ++i) {
    add(EventKind::DeliverManifest, i);
  }
  for (std::size_t i = 0; i < mTracker.DigestsToFetch().size(); ++i) {
    add(EventKind::FetchContent, i,
        mPlatform.platform.Find(ContentKey(mTracker.DigestsToFetch()[i])) != nullptr);
  }
  return events;
}

std::string PublicationModel::Describe(const Event& aEvent) const
{
  return std::string(kEventNames.at(static_cast<std::size_t>(aEvent.kind))) + " " +
         std::to_string(aEvent.index);
}

void PublicationModel::Apply(const Event& aEvent)
{
  const std::size_t i = aEvent.index;
  const std::uint64_t previousGeneration = mTracker.Generation();
  switch (aEvent.kind) {
    case EventKind::Start:
      mRuns[i].isStarted = true;
      HandlePublisherOutput(i, mRuns[i].publisher.Start(mNow));
      break;
    case EventKind::Tick:
      // Each run has its own clock; only the order of events matters.
      HandlePublisherOutput(i, mRuns[i].publisher.OnTime(*mRuns[i].publisher.NextWakeUp()));
      break;
    case EventKind::Kill:
      --mOptions.kills;
      mRuns[i].isKilled = true;
      break;
    case EventKind::Deliver: {
      const PendingReply pending = RemoveAt(mPendingReplies, i);
      PublishRun& run = mRuns[pending.run];
      if (!run.isKilled) {
        HandlePublisherOutput(pending.run, run.publisher.OnPlatformReply(pending.reply, mNow));
      }
      break;
    }
    case EventKind::ReadManifest:
      --mOptions.manifestReads;
      mReadManifests.push_back(mPlatform.platform.Find(ManifestKey())->body);
      break;
    case EventKind::DeliverManifest:
      mTracker.OnManifest(mReadManifests[i]);
      break;
    case EventKind::FetchContent:
      mTracker.OnContent(mPlatform.platform.Find(ContentKey(mTracker.DigestsToFetch()[i]))->body);
      break;
    default:
      ApplyPlatformEvent(aEvent);
  }
  CheckTracker(previousGeneration);
}

void PublicationModel::HandlePublisherOutput(std::size_t aRun,
                                             std::optional<platform::PlatformRequest> aRequest)
{
  if (aRequest) {
    mPendingRequests.push_back({ aRun, std::move(*aRequest) });
  }
  CheckOutcome(aRun);
}

void PublicationModel::ApplyPlatformEvent(const Event& aEvent)
{
  const PendingRequest pending = aEvent.kind == EventKind::TimeOut
                                   ? mPendingRequests[aEvent.index]
                                   : RemoveAt(mPendingRequests, aEvent.index);
  PlatformReply reply;
  if (aEvent.kind == EventKind::Apply || aEvent.kind == EventKind::LoseReply) {
    reply = mPlatform.platform.Apply(pending.request);
    CheckPlatform();
  }
  if (aEvent.kind != EventKind::Apply) {
    --mOptions.losses;
    reply = PlatformReply{};
  }
  reply.number = pending.request.number;
  mPendingReplies.push_back({ pending.run, std::move(reply) });
}

// Checks that all contents of the published manifest exist and that its generation increases by
// one.
void PublicationModel::CheckPlatform()
{
  const platform::InMemoryPlatform::Object* object = mPlatform.platform.Find(ManifestKey());
  if (object == nullptr) {
    return;
  }
  const Manifest manifest = *ParseManifest(object->body);
  if (manifest.generation != mPublishedGeneration &&
      manifest.generation != mPublishedGeneration + 1) {
    RecordViolation("the published generation did not increase by one");
  }
  mPublishedGeneration = manifest.generation;
  std::uint64_t revisions = 0;
  for (const std::pair<const ServiceName, ManifestEntry>& item : manifest.services) {
    if (mPlatform.platform.Find(ContentKey(item.second.digest)) == nullptr) {
      RecordViolation("a content object of the published manifest is missing");
    }
    mGenerationByNonce.emplace(item.second.publisher, manifest.generation);
    revisions += item.second.revision;
  }
  if (revisions != manifest.generation) {
    RecordViolation("an update was lost");
  }
}

// Checks that the outcome of a run agrees with the published manifests.
void PublicationModel::CheckOutcome(std::size_t aRun)
{
  const std::optional<PublishOutcome>& outcome = mRuns[aRun].publisher.Outcome();
  if (!outcome) {
    return;
  }
  const std::map<std::string, std::uint64_t>::const_iterator published =
    mGenerationByNonce.find(MakeNonce(aRun));
  if (outcome->status == PublishStatus::Accepted) {
    if (published == mGenerationByNonce.end()) {
      RecordViolation("a run reported Accepted, but its update was never published");
    }
  } else if (published != mGenerationByNonce.end() && !outcome->maybeAccepted) {
    RecordViolation("a run reported failure, but its update was published");
  }
}

void PublicationModel::CheckTracker(std::uint64_t aPreviousGeneration)
{
  if (mTracker.Generation() < aPreviousGeneration) {
    RecordViolation("the generation in force decreased");
  }
  const bool hasMatchingConfiguration =
    mTracker.Current() != nullptr && mTracker.Current()->Generation() == mTracker.Generation();
  if (mTracker.Generation() > 0 && !hasMatchingConfiguration) {
    RecordViolation("the generation in force has no matching configuration");
  }
}

void PublicationModel::RecordViolation(const std::string& aViolation)
{
  if (mViolation.empty()) {
    mViolation = aViolation;
  }
}

} // namespace masticstep::publication
