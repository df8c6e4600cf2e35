#include "PublicationWorld.hpp"

#include <array>
#include <utility>

namespace masticstep::publication {

using platform::PlatformReply;

namespace {

constexpr std::array<const char*, 11> kNames{ "start",     "tick",        "kill",     "apply",
                                              "lose call", "lose answer", "time out", "deliver",
                                              "sight",     "show",        "fetch" };

// Every run publishes other files, so that no two contents share a digest.
ServiceContent ContentOf(const std::string& aService, std::size_t aRun)
{
  const std::string name = aService + std::to_string(aRun) + ".accounts.json";
  return { ServiceName{ aService }, { { name, R"({"accounts": []})" } } };
}

std::string NonceOf(std::size_t aRun)
{
  return "p" + std::to_string(aRun);
}

template <class T>
T TakeAt(std::vector<T>& aItems, std::size_t aIndex)
{
  T item = std::move(aItems[aIndex]);
  aItems.erase(aItems.begin() + static_cast<std::ptrdiff_t>(aIndex));
  return item;
}

} // namespace

PublicationWorld::PublicationWorld(WorldOptions aOptions)
  : mOptions(std::move(aOptions))
{
  for (std::size_t i = 0; i < mOptions.services.size(); ++i) {
    Publisher publisher(
      { { ContentOf(mOptions.services[i], i) }, NonceOf(i), Time{ Seconds(60) } });
    PlantedFault::Set(publisher, mOptions.publisherFaults);
    mRuns.push_back({ std::move(publisher), false, false });
  }
  PlantedFault::Set(mTracker, mOptions.trackerFaults);
}

std::vector<PublicationWorld::Event> PublicationWorld::Events() const
{
  std::vector<Event> events;
  const auto add = [&events](EventKind aKind, std::size_t aIndex, bool aEnabled = true) {
    if (aEnabled) {
      events.push_back({ aKind, aIndex });
    }
  };
  for (std::size_t i = 0; i < mRuns.size(); ++i) {
    const Run& run = mRuns[i];
    const bool runs = run.isStarted && !run.isKilled && !run.publisher.Outcome();
    add(EventKind::Start, i, !run.isStarted);
    // A retry is due; the deadline of the run is not explored.
    const std::optional<Time> next = run.publisher.NextWakeUp();
    add(EventKind::Tick, i, runs && next && *next < Time{ Seconds(60) });
    add(EventKind::Kill, i, runs && mOptions.kills > 0);
  }
  for (std::size_t i = 0; i < mCalls.size(); ++i) {
    add(EventKind::Apply, i);
    add(EventKind::LoseCall, i, mOptions.losses > 0);
    add(EventKind::LoseAnswer, i, mOptions.losses > 0);
    add(EventKind::TimeOut, i, mOptions.losses > 0);
  }
  for (std::size_t i = 0; i < mReplies.size(); ++i) {
    add(EventKind::Deliver, i);
  }
  add(EventKind::Sight, 0, mOptions.sightings > 0 && mNewest > 0);
  for (std::size_t i = 0; i < mSightings.size(); ++i) {
    add(EventKind::Show, i);
  }
  for (std::size_t i = 0; i < mTracker.DigestsToFetch().size(); ++i) {
    add(EventKind::Fetch, i,
        mPlatform.platform.Find(ContentKey(mTracker.DigestsToFetch()[i])) != nullptr);
  }
  return events;
}

std::string PublicationWorld::Describe(const Event& aEvent) const
{
  return std::string(kNames.at(static_cast<std::size_t>(aEvent.kind))) + " " +
         std::to_string(aEvent.index);
}

void PublicationWorld::Apply(const Event& aEvent)
{
  const std::size_t i = aEvent.index;
  const std::uint64_t before = mTracker.Generation();
  switch (aEvent.kind) {
    case EventKind::Start:
      mRuns[i].isStarted = true;
      Take(i, mRuns[i].publisher.Start(mNow));
      break;
    case EventKind::Tick:
      // Each run has its own clock; only the order of events matters.
      Take(i, mRuns[i].publisher.OnTime(*mRuns[i].publisher.NextWakeUp()));
      break;
    case EventKind::Kill:
      --mOptions.kills;
      mRuns[i].isKilled = true;
      break;
    case EventKind::Deliver: {
      const Reply reply = TakeAt(mReplies, i);
      Run& run = mRuns[reply.run];
      if (!run.isKilled) {
        Take(reply.run, run.publisher.OnPlatformReply(reply.reply, mNow));
      }
      break;
    }
    case EventKind::Sight:
      --mOptions.sightings;
      mSightings.push_back(mPlatform.platform.Find(ManifestKey())->body);
      break;
    case EventKind::Show:
      mTracker.OnManifest(mSightings[i]);
      break;
    case EventKind::Fetch:
      mTracker.OnContent(mPlatform.platform.Find(ContentKey(mTracker.DigestsToFetch()[i]))->body);
      break;
    default:
      ApplyCall(aEvent);
  }
  CheckTracker(before);
}

void PublicationWorld::Take(std::size_t aRun, std::optional<platform::PlatformRequest> aRequest)
{
  if (aRequest) {
    mCalls.push_back({ aRun, std::move(*aRequest) });
  }
  CheckOutcome(aRun);
}

void PublicationWorld::ApplyCall(const Event& aEvent)
{
  const Call call =
    aEvent.kind == EventKind::TimeOut ? mCalls[aEvent.index] : TakeAt(mCalls, aEvent.index);
  PlatformReply reply;
  if (aEvent.kind == EventKind::Apply || aEvent.kind == EventKind::LoseAnswer) {
    reply = mPlatform.platform.Apply(call.request);
    CheckPlatform();
  }
  if (aEvent.kind != EventKind::Apply) {
    --mOptions.losses;
    reply = PlatformReply{};
  }
  reply.number = call.request.number;
  mReplies.push_back({ call.run, std::move(reply) });
}

// The published configuration is whole at every step and counts up by one.
void PublicationWorld::CheckPlatform()
{
  const platform::InMemoryPlatform::Object* object = mPlatform.platform.Find(ManifestKey());
  if (object == nullptr) {
    return;
  }
  const Manifest manifest = *ParseManifest(object->body);
  if (manifest.generation != mNewest && manifest.generation != mNewest + 1) {
    Blame("the published generation did not count up by one");
  }
  mNewest = manifest.generation;
  std::uint64_t revisions = 0;
  for (const std::pair<const ServiceName, ManifestEntry>& item : manifest.services) {
    if (mPlatform.platform.Find(ContentKey(item.second.digest)) == nullptr) {
      Blame("the published configuration is not whole");
    }
    mHistory.emplace(item.second.publisher, manifest.generation);
    revisions += item.second.revision;
  }
  if (revisions != manifest.generation) {
    Blame("an update was lost");
  }
}

// What a run reports must be what became of it.
void PublicationWorld::CheckOutcome(std::size_t aRun)
{
  const std::optional<PublishOutcome>& outcome = mRuns[aRun].publisher.Outcome();
  if (!outcome) {
    return;
  }
  const std::map<std::string, std::uint64_t>::const_iterator made = mHistory.find(NonceOf(aRun));
  if (outcome->status == PublishStatus::Accepted) {
    if (made == mHistory.end()) {
      Blame("a run reported a generation that it did not make");
    }
  } else if (made != mHistory.end() && !outcome->maybeAccepted) {
    Blame("a run that was accepted reported that it was not");
  }
}

void PublicationWorld::CheckTracker(std::uint64_t aBefore)
{
  if (mTracker.Generation() < aBefore) {
    Blame("the generation in force went back");
  }
  const bool whole =
    mTracker.Current() != nullptr && mTracker.Current()->Generation() == mTracker.Generation();
  if (mTracker.Generation() > 0 && !whole) {
    Blame("the configuration in force is not whole");
  }
}

void PublicationWorld::Blame(const std::string& aViolation)
{
  if (mViolation.empty()) {
    mViolation = aViolation;
  }
}

} // namespace masticstep::publication
