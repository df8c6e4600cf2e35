#include "PlatformWatcher.hpp"

#include "FeedBackoff.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace masticstep::relay {

using telemetry::Level;

namespace {

constexpr Duration kExpiryCheckInterval = Milliseconds(100);
constexpr Duration kResyncCheckInterval = Milliseconds(250);
constexpr Duration kRetryInterval = Milliseconds(500);
// A peer may receive a change slightly earlier than this daemon; its report causes a read only
// after this delay.
constexpr Duration kPeerVersionDelay = Milliseconds(500);
constexpr Duration kNewsCheckInterval = Milliseconds(100);
// Least time between two replacements of a feed's watch, so that a store that answers slowly gets
// few more calls.
constexpr Duration kReplacementInterval = Seconds(2);
// A long poll counts as one call of the platform's rate limit, however long it waits.
constexpr Duration kLongWatch = Seconds(12);
// Followers read the state now and then even without news from their peers.
constexpr Duration kFollowerRefresh = Seconds(30);
// In units of the watch pause. The poller's watches must end well before its followers stop relying
// on it, since their reports take time.
constexpr double kFollowerSpacing = 1.5; // between the calls of a follower
constexpr double kMaximumPeerAge = 3.0;  // of the peers' latest response of the store
constexpr double kRouteTableWatch = 2.0; // of the store poller; its backend watch takes one pause

Duration Times(double aFactor, Duration aDuration)
{
  return FromSeconds(aFactor * ToSeconds(aDuration));
}

} // namespace

PlatformWatcher::PlatformWatcher(std::shared_ptr<RelayState> aState,
                                 std::shared_ptr<PlatformFeed> aFeed, WatchOptions aOptions)
  : mState(std::move(aState))
  , mFeed(std::move(aFeed))
  , mOptions(aOptions)
  , mElectionEnd(net::Now() + aOptions.electionTime)
  , mRejectedEntries(mState->metrics)
{
}

void PlatformWatcher::SetFeed(std::shared_ptr<PlatformFeed> aFeed)
{
  mFeed = std::move(aFeed);
  mBackendFeed.hasNewFeed = true;
  mRouteTableFeed.hasNewFeed = true;
}

void PlatformWatcher::OnResponse(FeedState& aFeedState, platform::Version aRevision)
{
  if (aRevision.era > aFeedState.revision.era && aFeedState.lastResponse != Time{}) {
    telemetry::Log(Level::Warning, "platform restored from an older copy",
                   { { "feed", aFeedState.name },
                     { "era", aRevision.era },
                     { "revision", aRevision.value },
                     { "revision_before", aFeedState.revision.value } });
  }
  mState->metrics.GetGauge({ "masticstep_store_era", {}, {} })
    ->Set(static_cast<std::int64_t>(aRevision.era));
  if (!aFeedState.isConnected) {
    telemetry::Log(Level::Info, "platform reached", { { "feed", aFeedState.name } });
  }
  aFeedState.isConnected = true;
  aFeedState.lastResponse = net::Now();
  mState->storeReach.OnAnswered(net::Now());
  // The older of both: peers rely on this daemon for both feeds, and the watch of one may have gone
  // silent while the other is answered.
  if (mBackendFeed.lastResponse != Time{} && mRouteTableFeed.lastResponse != Time{}) {
    mState->storeSync.storeContact =
      std::min(mBackendFeed.lastResponse, mRouteTableFeed.lastResponse);
  }
}

bool PlatformWatcher::IsFollower() const
{
  return mState->storeSync.IsFollower(net::Now(), Times(kMaximumPeerAge, mOptions.watchPause));
}

Duration PlatformWatcher::WatchTime(Duration aPollerTime) const
{
  const bool hasFollowers = mState->storeSync.isStorePoller && mState->storeSync.mayHaveFollowers;
  return hasFollowers ? aPollerTime : kLongWatch;
}

net::Task<void> PlatformWatcher::WaitForNews(const FeedState& aFeedState,
                                             std::function<bool()> aHasNews)
{
  const Time begin = net::Now();
  while (net::Now() < mElectionEnd) {
    co_await net::Sleep(kNewsCheckInterval);
  }
  while (IsFollower() && !aFeedState.hasNewFeed && net::Now() < begin + kFollowerRefresh) {
    const Time mayCallAt = aFeedState.lastResponse + Times(kFollowerSpacing, mOptions.watchPause);
    if (aHasNews() && net::Now() >= mayCallAt) {
      co_return;
    }
    co_await net::Sleep(kNewsCheckInterval);
  }
}

void PlatformWatcher::OnError(FeedState& aFeedState, const FeedError& aError)
{
  if (aFeedState.isConnected) {
    telemetry::Log(Level::Warning, "platform lost",
                   { { "feed", aFeedState.name },
                     { "revision", aFeedState.revision.value },
                     { "era", aFeedState.revision.era },
                     { "problem", aError.detail } });
  }
  aFeedState.isConnected = false;
  aFeedState.lastFailure = net::Now();
}

template <class Reply>
net::Task<std::optional<Reply>> PlatformWatcher::AwaitWatch(
  FeedState& aFeedState, std::function<net::Task<Reply>()> aWatch)
{
  const std::shared_ptr<net::Signal> end = std::make_shared<net::Signal>(mState->executor);
  const std::shared_ptr<std::optional<Reply>> reply = std::make_shared<std::optional<Reply>>();
  aFeedState.watchEnd = end;
  aFeedState.recoveriesBefore = Recoveries();
  aFeedState.isWatching = true;
  // A watch that is replaced goes on until its time limit; nobody reads its answer.
  boost::asio::co_spawn(
    mState->executor,
    [end, reply, watch = std::move(aWatch)]() -> net::Task<void> {
      reply->emplace(co_await watch());
      end->Set();
    },
    boost::asio::detached);
  co_await end->Wait();
  aFeedState.isWatching = false;
  co_return std::move(*reply);
}

std::uint64_t PlatformWatcher::Recoveries() const
{
  return mState->storeReach.Recoveries() + mState->storeSync.peersRecoveries;
}

void PlatformWatcher::ReplaceDoubtfulWatch(FeedState& aFeedState)
{
  const Time now = net::Now();
  const bool isDoubtful = aFeedState.isWatching && Recoveries() != aFeedState.recoveriesBefore;
  if (!isDoubtful || now < aFeedState.watchReplacedAt + kReplacementInterval) {
    return;
  }
  aFeedState.watchReplacedAt = now;
  mState->metrics
    .GetCounter({ "masticstep_store_watches_replaced_total", "feed", aFeedState.name })
    ->Add();
  telemetry::Log(Level::Info, "watch sent anew after the store was lost",
                 { { "feed", aFeedState.name }, { "revision", aFeedState.revision.value } });
  aFeedState.watchEnd->Set();
}

net::Task<bool> PlatformWatcher::ListBackends()
{
  const std::shared_ptr<PlatformFeed> feed = mFeed;
  mState->storeReach.OnSent(net::Now());
  const Result<BackendUpdate, FeedError> reply = co_await feed->ListBackends();
  if (!reply) {
    OnError(mBackendFeed, reply.error());
    mState->directory.OnStoreLost();
    co_return false;
  }
  OnResponse(mBackendFeed, reply->revision);
  mState->directory.OnStoreRecovered(net::Now());
  Apply(*reply, true);
  co_return true;
}

net::Task<void> PlatformWatcher::RunBackendWatch()
{
  const std::shared_ptr<PlatformWatcher> self = shared_from_this();
  FeedBackoff backoff(mOptions.seed);
  while (true) {
    if (!mBackendFeed.isConnected) {
      const bool isListed = co_await ListBackends();
      if (!isListed) {
        co_await net::Sleep(backoff.NextDelay());
        continue;
      }
      backoff.Reset();
    }
    co_await WaitForNews(mBackendFeed, [this] {
      return mState->storeSync.peersBackendChangeRevision > mBackendFeed.revision;
    });
    const std::shared_ptr<PlatformFeed> feed = mFeed;
    using Reply = Result<BackendUpdate, FeedError>;
    std::function<net::Task<Reply>()> watch = [feed, revision = mBackendFeed.revision,
                                               wait = WatchTime(mOptions.watchPause)] {
      return feed->WatchBackends(revision, wait);
    };
    const std::optional<Reply> answer = co_await AwaitWatch<Reply>(mBackendFeed, std::move(watch));
    if (!answer) {
      continue;
    }
    const Reply& reply = *answer;
    if (!reply) {
      // A store that ends a watch with an error may have dropped changes that the watch did not
      // report, so the state is listed again.
      OnError(mBackendFeed, reply.error());
      if (reply.error().kind == FeedErrorKind::Unavailable) {
        mState->directory.OnStoreLost();
      }
      co_await net::Sleep(backoff.NextDelay());
      continue;
    }
    OnResponse(mBackendFeed, reply->revision);
    mState->directory.OnStoreRecovered(net::Now());
    // The resync loop may have read a newer state in the meantime.
    if (reply->revision > mBackendFeed.revision) {
      Apply(*reply, false);
    }
    if (!reply->changes.empty()) {
      co_await net::Sleep(mOptions.watchPause);
    }
  }
}

bool PlatformWatcher::NeedsResync(FeedState& aFeedState, platform::Version aOwnVersion,
                                  platform::Version aPeerVersion)
{
  const Time now = net::Now();
  if (std::exchange(aFeedState.hasNewFeed, false)) {
    return true;
  }
  if (!aFeedState.isConnected) {
    // The watch loop retries by itself, unless it is blocked in a watch that the store may have
    // lost.
    return aFeedState.isWatching && now >= aFeedState.lastFailure + kRetryInterval;
  }
  if (mState->storeSync.isStorePoller && now >= aFeedState.lastResponse + mOptions.maximumSilence) {
    return true;
  }
  // A watch that was pending while the store was restored may never return.
  const std::uint64_t era = mState->storeSync.storeEra;
  if (era > aFeedState.revision.era && era != aFeedState.lastEraRead) {
    aFeedState.lastEraRead = era;
    return true;
  }
  // Each version of a peer causes one read only.
  if (aPeerVersion <= aOwnVersion || aPeerVersion == aFeedState.lastPeerVersionRead) {
    aFeedState.peerIsNewerSince = Time{};
    return false;
  }
  if (aFeedState.peerIsNewerSince == Time{}) {
    aFeedState.peerIsNewerSince = now;
  }
  if (now < aFeedState.peerIsNewerSince + mOptions.watchPause + kPeerVersionDelay) {
    return false;
  }
  aFeedState.lastPeerVersionRead = aPeerVersion;
  aFeedState.peerIsNewerSince = Time{};
  return true;
}

net::Task<void> PlatformWatcher::RunBackendResync()
{
  const std::shared_ptr<PlatformWatcher> self = shared_from_this();
  while (true) {
    co_await net::Sleep(kResyncCheckInterval);
    if (NeedsResync(mBackendFeed, mState->storeSync.newestEntryRevision,
                    mState->storeSync.peersNewestEntryRevision)) {
      co_await ListBackends();
    }
    ReplaceDoubtfulWatch(mBackendFeed);
  }
}

net::Task<void> PlatformWatcher::RunRouteTableResync()
{
  const std::shared_ptr<PlatformWatcher> self = shared_from_this();
  while (true) {
    co_await net::Sleep(kResyncCheckInterval);
    // The operator's versions increase in all eras.
    const platform::Version version{ mState->table ? mState->table->Version() : 0 };
    if (NeedsResync(mRouteTableFeed, version, { mState->storeSync.peersConfigurationVersion })) {
      co_await ReadRouteTable();
    }
    ReplaceDoubtfulWatch(mRouteTableFeed);
  }
}

bool PlatformWatcher::MayApply(FeedState& aFeedState, platform::Version aRevision)
{
  if (aRevision.era < aFeedState.revision.era) {
    return false;
  }
  aFeedState.revision = std::max(aFeedState.revision, aRevision);
  mState->storeSync.storeEra = std::max(mState->storeSync.storeEra, aRevision.era);
  return true;
}

void PlatformWatcher::Apply(const BackendUpdate& aUpdate, bool aIsSnapshot)
{
  const Time now = net::Now();
  if (!MayApply(mBackendFeed, aUpdate.revision)) {
    return;
  }
  mRejectedEntries.Apply(aUpdate, aIsSnapshot);
  platform::Version& newest = mState->storeSync.newestEntryRevision;
  // All revisions that peers are told are of one era.
  const bool isNewEra = aUpdate.revision.era > newest.era;
  newest = std::max(newest, { 0, aUpdate.revision.era });
  std::vector<dispatch::Backend> listed;
  bool isChanged = isNewEra || (!aIsSnapshot && !aUpdate.changes.empty());
  for (const BackendChange& change : aUpdate.changes) {
    newest = std::max(newest, change.revision);
    if (aIsSnapshot) {
      if (change.backend) {
        listed.push_back(*change.backend);
      }
      continue;
    }
    telemetry::Log(Level::Info, "backend changed",
                   { { "backend", change.id.Text() },
                     { "present", change.backend.has_value() },
                     { "draining", change.backend && change.backend->isDraining },
                     { "revision", change.revision.value } });
    if (change.backend) {
      mState->directory.Set(*change.backend, now);
    } else {
      mState->directory.Remove(change.id, now);
    }
  }
  if (aIsSnapshot) {
    telemetry::Log(Level::Info, "backends listed",
                   { { "count", static_cast<std::uint64_t>(listed.size()) },
                     { "revision", aUpdate.revision.value },
                     { "era", aUpdate.revision.era } });
    const std::map<BackendServerName, dispatch::Backend> before = mState->directory.Backends();
    if (isNewEra && mState->directory.IsLoaded()) {
      mState->directory.OnStoreRestored(now);
    }
    mState->directory.Replace(std::move(listed), now);
    if (mState->directory.DoubtfulCount() > 0) {
      telemetry::Log(
        Level::Info, "entries of departed backends not used",
        { { "count", static_cast<std::uint64_t>(mState->directory.DoubtfulCount()) } });
    }
    isChanged = isChanged || before != mState->directory.Backends();
  }
  if (isChanged) {
    // A peer that has read the store at this revision or later has seen the same changes.
    mState->storeSync.backendChangeRevision =
      std::max(mState->storeSync.backendChangeRevision, aUpdate.revision);
  }
  if (aIsSnapshot || !aUpdate.changes.empty()) {
    mState->ApplyDirectory(now);
  }
}

net::Task<void> PlatformWatcher::RunBackendExpiry()
{
  const std::shared_ptr<PlatformWatcher> self = shared_from_this();
  while (true) {
    co_await net::Sleep(kExpiryCheckInterval);
    if (mState->directory.RemoveExpired(net::Now())) {
      telemetry::Log(Level::Info, "entries of backend servers dropped or used again");
      mState->ApplyDirectory(net::Now());
    }
  }
}

net::Task<bool> PlatformWatcher::ReadRouteTable()
{
  const std::shared_ptr<PlatformFeed> feed = mFeed;
  const Time sent = net::Now();
  mState->storeReach.OnSent(sent);
  const Result<RouteTableUpdate, FeedError> reply = co_await feed->ReadRouteTable();
  if (!reply) {
    OnError(mRouteTableFeed, reply.error());
    co_return false;
  }
  OnResponse(mRouteTableFeed, reply->revision);
  Apply(*reply);
  NoteReading(*reply, kNoVersion, sent);
  co_return true;
}

net::Task<void> PlatformWatcher::RunRouteTableWatch()
{
  const std::shared_ptr<PlatformWatcher> self = shared_from_this();
  FeedBackoff backoff(mOptions.seed + 1);
  while (true) {
    if (!mRouteTableFeed.isConnected) {
      const bool isRead = co_await ReadRouteTable();
      if (!isRead) {
        co_await net::Sleep(backoff.NextDelay());
        continue;
      }
      backoff.Reset();
    }
    co_await WaitForNews(mRouteTableFeed, [this] {
      return mState->storeSync.peersConfigurationVersion >
             (mState->table ? mState->table->Version() : 0);
    });
    const std::shared_ptr<PlatformFeed> feed = mFeed;
    using Reply = Result<RouteTableUpdate, FeedError>;
    std::function<net::Task<Reply>()> watch = [feed, revision = mRouteTableFeed.revision,
                                               wait = RouteTableWatchTime()] {
      return feed->WatchRouteTable(revision, wait);
    };
    const std::uint64_t versionBefore = mNewestVersionRead;
    const Time sent = net::Now();
    const std::optional<Reply> answer =
      co_await AwaitWatch<Reply>(mRouteTableFeed, std::move(watch));
    if (!answer) {
      continue;
    }
    const Reply& reply = *answer;
    if (!reply) {
      OnError(mRouteTableFeed, reply.error());
      co_await net::Sleep(backoff.NextDelay());
      continue;
    }
    OnResponse(mRouteTableFeed, reply->revision);
    Apply(*reply);
    NoteReading(*reply, versionBefore, sent);
  }
}

Duration PlatformWatcher::RouteTableWatchTime() const
{
  const Duration wait = WatchTime(Times(kRouteTableWatch, mOptions.watchPause));
  const bool isLimited = mOptions.routeTableWatch > Duration::zero();
  return isLimited && mState->storeSync.isStorePoller ? std::min(wait, mOptions.routeTableWatch)
                                                      : wait;
}

void PlatformWatcher::NoteReading(const RouteTableUpdate& aUpdate, std::uint64_t aVersionBefore,
                                  Time aSentAt)
{
  std::uint64_t version = aUpdate.table ? aUpdate.table->Version() : aVersionBefore;
  version = aUpdate.isInvalid ? kNoVersion : version;
  // A read may have overtaken this answer of a watch.
  if (aUpdate.revision == mRouteTableFeed.revision) {
    mNewestVersionRead = version;
  }
  if (mState->table) {
    mState->freshness.OnStoreReading({ version, aSentAt }, aUpdate.revision.era,
                                     mState->table->Version(), net::Now());
  }
}

void PlatformWatcher::Apply(const RouteTableUpdate& aUpdate)
{
  if (!MayApply(mRouteTableFeed, aUpdate.revision) || !aUpdate.table) {
    return;
  }
  if (mState->table && aUpdate.table->Version() <= mState->table->Version()) {
    if (aUpdate.table->Version() < mState->table->Version()) {
      telemetry::Log(Level::Warning, "older configuration ignored",
                     { { "version", aUpdate.table->Version() },
                       { "in_force", mState->table->Version() },
                       { "era", aUpdate.revision.era } });
    }
    return;
  }
  mState->table = aUpdate.table;
  mState->dispatcher.SetTable(aUpdate.table);
  telemetry::Log(Level::Info, "configuration in force",
                 { { "version", aUpdate.table->Version() },
                   { "routes", static_cast<std::uint64_t>(aUpdate.table->Routes().size()) } });
  if (mOnRouteTable) {
    mOnRouteTable();
  }
}

} // namespace masticstep::relay
