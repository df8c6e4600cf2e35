#include "Followers.hpp"

#include "FeedPause.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/telemetry/Log.hpp"

#include <optional>
#include <utility>

namespace masticstep::relay {

using telemetry::Level;

namespace {

constexpr Duration kExpiryCheck = Milliseconds(100);

} // namespace

Followers::Followers(std::shared_ptr<RelayParts> aParts, std::shared_ptr<PlatformFeed> aFeed,
                     std::uint64_t aSeed)
  : mParts(std::move(aParts))
  , mFeed(std::move(aFeed))
  , mSeed(aSeed)
{
}

void Followers::SetFeed(std::shared_ptr<PlatformFeed> aFeed)
{
  mFeed = std::move(aFeed);
}

void Followers::OnFeedError(const char* aFeed, const FeedError& aError, bool aWasGood)
{
  if (aWasGood) {
    telemetry::Log(Level::Warning, "platform lost",
                   { { "feed", aFeed }, { "problem", aError.detail } });
  }
}

net::Task<void> Followers::FollowBackends()
{
  const std::shared_ptr<Followers> self = shared_from_this();
  FeedPause pause(mSeed);
  std::optional<std::uint64_t> revision;
  bool isGood = false;
  while (true) {
    const std::shared_ptr<PlatformFeed> feed = mFeed;
    const bool isList = !revision.has_value();
    Result<BackendFeed, FeedError> reply;
    // No conditional expression: g++ 12 destroys an awaited branch of it twice.
    if (isList) {
      reply = co_await feed->ListBackends();
    } else {
      reply = co_await feed->WatchBackends(*revision);
    }
    if (reply) {
      if (!isGood) {
        telemetry::Log(Level::Info, "platform reached", { { "feed", "backends" } });
      }
      mParts->directory.OnStoreBack(net::Now());
      Take(*reply, isList);
      revision = reply->revision;
      pause.OnSuccess();
      isGood = true;
      continue;
    }
    OnFeedError("backends", reply.error(), isGood);
    isGood = false;
    // A store that broke a watch off may have dropped changes that the watch never told of.
    revision.reset();
    if (reply.error().kind == FeedErrorKind::Unavailable) {
      mParts->directory.OnStoreLost();
    }
    co_await net::Sleep(pause.Next());
  }
}

void Followers::Take(const BackendFeed& aFeed, bool aIsList)
{
  const Time now = net::Now();
  std::vector<dispatch::Backend> listed;
  for (const BackendChange& change : aFeed.changes) {
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
    telemetry::Log(Level::Info, "backends listed",
                   { { "count", static_cast<std::uint64_t>(listed.size()) },
                     { "revision", aFeed.revision } });
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

net::Task<void> Followers::FollowTable()
{
  const std::shared_ptr<Followers> self = shared_from_this();
  FeedPause pause(mSeed + 1);
  std::optional<std::uint64_t> revision;
  bool isGood = false;
  while (true) {
    const std::shared_ptr<PlatformFeed> feed = mFeed;
    Result<TableFeed, FeedError> reply;
    if (revision) {
      reply = co_await feed->WatchTable(*revision);
    } else {
      reply = co_await feed->ReadTable();
    }
    if (reply) {
      Take(*reply);
      revision = reply->revision;
      pause.OnSuccess();
      isGood = true;
      continue;
    }
    OnFeedError("configuration", reply.error(), isGood);
    isGood = false;
    revision.reset();
    co_await net::Sleep(pause.Next());
  }
}

void Followers::Take(const TableFeed& aFeed)
{
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
