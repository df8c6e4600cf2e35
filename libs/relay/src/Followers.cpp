#include "Followers.hpp"

#include "FeedPause.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace masticstep::relay {

using telemetry::Level;

namespace {

constexpr Duration kExpiryCheck = Milliseconds(100);
constexpr Duration kGuardCheck = Milliseconds(250);
constexpr Duration kRetryInterval = Milliseconds(500);
// Another daemon may be a little ahead; it is not followed before this time has passed.
constexpr Duration kHintDelay = Milliseconds(500);

} // namespace

Followers::Followers(std::shared_ptr<RelayState> aParts, std::shared_ptr<PlatformFeed> aFeed,
                     FollowOptions aOptions)
  : mParts(std::move(aParts))
  , mFeed(std::move(aFeed))
  , mOptions(aOptions)
{
}

void Followers::SetFeed(std::shared_ptr<PlatformFeed> aFeed)
{
  mFeed = std::move(aFeed);
  mBackends.hasNewFeed = true;
  mTable.hasNewFeed = true;
}

void Followers::OnAnswer(Course& aCourse)
{
  if (!aCourse.isGood) {
    telemetry::Log(Level::Info, "platform reached", { { "feed", aCourse.name } });
  }
  aCourse.isGood = true;
  aCourse.answered = net::Now();
}

void Followers::OnError(Course& aCourse, const FeedError& aError)
{
  if (aCourse.isGood) {
    telemetry::Log(Level::Warning, "platform lost",
                   { { "feed", aCourse.name }, { "problem", aError.detail } });
  }
  aCourse.isGood = false;
  aCourse.failed = net::Now();
}

net::Task<bool> Followers::ListBackends()
{
  const std::shared_ptr<PlatformFeed> feed = mFeed;
  const Result<BackendUpdate, FeedError> reply = co_await feed->ListBackends();
  if (!reply) {
    OnError(mBackends, reply.error());
    mParts->directory.OnStoreLost();
    co_return false;
  }
  OnAnswer(mBackends);
  mParts->directory.OnStoreBack(net::Now());
  Take(*reply, true);
  co_return true;
}

net::Task<void> Followers::FollowBackends()
{
  const std::shared_ptr<Followers> self = shared_from_this();
  FeedPause pause(mOptions.seed);
  while (true) {
    if (!mBackends.isGood) {
      const bool isListed = co_await ListBackends();
      if (!isListed) {
        co_await net::Sleep(pause.Next());
        continue;
      }
      pause.OnSuccess();
    }
    const std::shared_ptr<PlatformFeed> feed = mFeed;
    mBackends.isWatching = true;
    const Result<BackendUpdate, FeedError> reply = co_await feed->WatchBackends(mBackends.revision);
    mBackends.isWatching = false;
    if (!reply) {
      // A store that broke a watch off may have dropped changes that the watch never told of.
      OnError(mBackends, reply.error());
      if (reply.error().kind == FeedErrorKind::Unavailable) {
        mParts->directory.OnStoreLost();
      }
      co_await net::Sleep(pause.Next());
      continue;
    }
    OnAnswer(mBackends);
    mParts->directory.OnStoreBack(net::Now());
    // The state may have been read meanwhile.
    if (reply->revision > mBackends.revision) {
      Take(*reply, false);
    }
    if (!reply->changes.empty()) {
      co_await net::Sleep(mOptions.watchPause);
    }
  }
}

bool Followers::MustRead(Course& aCourse, std::uint64_t aOwn, std::uint64_t aPeers)
{
  const Time now = net::Now();
  if (std::exchange(aCourse.hasNewFeed, false)) {
    return true;
  }
  if (!aCourse.isGood) {
    // The follower itself tries again, unless it waits for a watch that the store may have
    // forgotten.
    return aCourse.isWatching && now >= aCourse.failed + kRetryInterval;
  }
  if (mParts->knowledge.isSentinel && now >= aCourse.answered + mOptions.maximumSilence) {
    return true;
  }
  if (aPeers <= aOwn || aPeers == aCourse.hint) {
    aCourse.hintSince = Time{};
    return false;
  }
  if (aCourse.hintSince == Time{}) {
    aCourse.hintSince = now;
  }
  if (now < aCourse.hintSince + mOptions.watchPause + kHintDelay) {
    return false;
  }
  aCourse.hint = aPeers;
  aCourse.hintSince = Time{};
  return true;
}

net::Task<void> Followers::GuardBackends()
{
  const std::shared_ptr<Followers> self = shared_from_this();
  while (true) {
    co_await net::Sleep(kGuardCheck);
    if (MustRead(mBackends, mParts->knowledge.newestEntry, mParts->knowledge.peersNewestEntry)) {
      co_await ListBackends();
    }
  }
}

net::Task<void> Followers::GuardTable()
{
  const std::shared_ptr<Followers> self = shared_from_this();
  while (true) {
    co_await net::Sleep(kGuardCheck);
    const std::uint64_t version = mParts->table ? mParts->table->Version() : 0;
    if (MustRead(mTable, version, mParts->knowledge.peersConfiguration)) {
      co_await ReadRouteTable();
    }
  }
}

void Followers::Take(const BackendUpdate& aFeed, bool aIsList)
{
  const Time now = net::Now();
  mBackends.revision = std::max(mBackends.revision, aFeed.revision);
  std::uint64_t& newest = mParts->knowledge.newestEntry;
  std::vector<dispatch::Backend> listed;
  for (const BackendChange& change : aFeed.changes) {
    newest = std::max(newest, change.revision);
    if (aIsList) {
      if (change.backend) {
        listed.push_back(*change.backend);
      }
      continue;
    }
    telemetry::Log(Level::Info, "backend changed",
                   { { "backend", change.id.Text() },
                     { "present", change.backend.has_value() },
                     { "draining", change.backend && change.backend->isDraining },
                     { "revision", aFeed.revision } });
    if (change.backend) {
      mParts->directory.Set(*change.backend);
    } else {
      mParts->directory.Remove(change.id, now);
    }
  }
  if (aIsList) {
    telemetry::Log(
      Level::Info, "backends listed",
      { { "count", static_cast<std::uint64_t>(listed.size()) }, { "revision", aFeed.revision } });
    mParts->directory.Replace(std::move(listed), now);
  }
  if (aIsList || !aFeed.changes.empty()) {
    mParts->dispatcher.SetBackends(mParts->directory.All());
  }
}

net::Task<void> Followers::ExpireBackends()
{
  const std::shared_ptr<Followers> self = shared_from_this();
  while (true) {
    co_await net::Sleep(kExpiryCheck);
    if (mParts->directory.OnTime(net::Now())) {
      telemetry::Log(Level::Info, "backends expired after an outage of the platform");
      mParts->dispatcher.SetBackends(mParts->directory.All());
    }
  }
}

net::Task<bool> Followers::ReadRouteTable()
{
  const std::shared_ptr<PlatformFeed> feed = mFeed;
  const Result<RouteTableUpdate, FeedError> reply = co_await feed->ReadRouteTable();
  if (!reply) {
    OnError(mTable, reply.error());
    co_return false;
  }
  OnAnswer(mTable);
  Take(*reply);
  co_return true;
}

net::Task<void> Followers::FollowTable()
{
  const std::shared_ptr<Followers> self = shared_from_this();
  FeedPause pause(mOptions.seed + 1);
  while (true) {
    if (!mTable.isGood) {
      const bool isRead = co_await ReadRouteTable();
      if (!isRead) {
        co_await net::Sleep(pause.Next());
        continue;
      }
      pause.OnSuccess();
    }
    const std::shared_ptr<PlatformFeed> feed = mFeed;
    mTable.isWatching = true;
    const Result<RouteTableUpdate, FeedError> reply =
      co_await feed->WatchRouteTable(mTable.revision);
    mTable.isWatching = false;
    if (!reply) {
      OnError(mTable, reply.error());
      co_await net::Sleep(pause.Next());
      continue;
    }
    OnAnswer(mTable);
    Take(*reply);
  }
}

void Followers::Take(const RouteTableUpdate& aFeed)
{
  mTable.revision = std::max(mTable.revision, aFeed.revision);
  if (!aFeed.table) {
    return;
  }
  if (mParts->table && aFeed.table->Version() <= mParts->table->Version()) {
    return;
  }
  mParts->table = aFeed.table;
  mParts->dispatcher.SetTable(aFeed.table);
  telemetry::Log(Level::Info, "configuration in force",
                 { { "version", aFeed.table->Version() },
                   { "routes", static_cast<std::uint64_t>(aFeed.table->Routes().size()) } });
  if (mOnTable) {
    mOnTable();
  }
}

} // namespace masticstep::relay
