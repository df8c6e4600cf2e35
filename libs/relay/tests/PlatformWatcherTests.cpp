#include "PlatformWatcher.hpp"
#include "RelayFixture.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/testing/Test.hpp"

#include <boost/asio/detached.hpp>

#include <deque>
#include <future>

using namespace masticstep;
using namespace masticstep::relay;

namespace {

dispatch::Backend MakeBackend(const std::string& aId)
{
  dispatch::Backend backend;
  backend.id = BackendServerName{ aId };
  backend.service = ServiceName{ "plain" };
  backend.address = { "10.0.0.1", static_cast<std::uint16_t>(aId.back()) };
  return backend;
}

// Feed that returns queued replies; a call blocks while its queue is empty.
class QueuedFeed : public PlatformFeed
{
public:
  std::deque<Result<BackendUpdate, FeedError>> lists;
  std::deque<Result<BackendUpdate, FeedError>> watches;
  std::deque<Result<RouteTableUpdate, FeedError>> reads;
  std::deque<Result<RouteTableUpdate, FeedError>> tables; // of watches
  std::vector<platform::Version> watched;                 // revisions passed to WatchBackends
  bool isSilent = false;     // watches that arrive get no answer, also later
  Duration backendWait{ 0 }; // of the latest watch
  Duration tableWait{ 0 };

  net::Task<Result<BackendUpdate, FeedError>> ListBackends() override
  {
    co_return co_await Next(lists);
  }
  net::Task<Result<BackendUpdate, FeedError>> WatchBackends(platform::Version aRevision,
                                                            Duration aWait) override
  {
    watched.push_back(aRevision);
    backendWait = aWait;
    co_await DropIfSilent();
    co_return co_await Next(watches);
  }
  net::Task<Result<RouteTableUpdate, FeedError>> ReadRouteTable() override
  {
    co_return co_await Next(reads);
  }
  net::Task<Result<RouteTableUpdate, FeedError>> WatchRouteTable(platform::Version,
                                                                 Duration aWait) override
  {
    tableWait = aWait;
    co_await DropIfSilent();
    co_return co_await Next(tables);
  }

private:
  net::Task<void> DropIfSilent() const
  {
    if (!isSilent) {
      co_return;
    }
    while (true) {
      co_await net::Sleep(Seconds(1));
    }
  }
  template <class Reply>
  static net::Task<Reply> Next(std::deque<Reply>& aReplies)
  {
    while (aReplies.empty()) {
      co_await net::Sleep(Milliseconds(1));
    }
    Reply reply = aReplies.front();
    aReplies.pop_front();
    co_return reply;
  }
};

std::shared_ptr<const dispatch::RouteTable> TableOf(std::uint64_t aVersion)
{
  dispatch::RouteTable::Parts parts;
  parts.version = aVersion;
  return *dispatch::RouteTable::Create(std::move(parts));
}

// Runs a watcher on an event loop until a condition holds.
struct WatcherFixture
{
  boost::asio::io_context context{ 1 };
  std::shared_ptr<RelayState> state = std::make_shared<RelayState>(
    context.get_executor(), std::make_shared<TestDialect>(), dispatch::Locality{}, 1);
  std::shared_ptr<QueuedFeed> feed = std::make_shared<QueuedFeed>();
  std::shared_ptr<PlatformWatcher> watcher = std::make_shared<PlatformWatcher>(
    state, feed, WatchOptions{ Seconds(3600), Milliseconds(1), 1 });

  void RunUntil(const std::function<bool()>& aCondition)
  {
    while (!aCondition()) {
      context.run_one_for(std::chrono::milliseconds(100));
    }
  }
  void RunFor(Duration aTime)
  {
    const Time end = net::Now() + aTime;
    RunUntil([end] { return net::Now() >= end; });
  }
  // Makes the daemon a follower whose peers had a response of the store at aContact.
  void Follow(Time aContact)
  {
    state->storeSync.isStoreWatcher = false;
    state->storeSync.peersStoreContact = aContact;
  }
  bool Has(const std::string& aId) const
  {
    return state->directory.Backends().contains(BackendServerName{ aId });
  }
};

} // namespace

MASTICSTEP_TEST("list and watch results are applied to the directory", "[relay][watcher]")
{
  WatcherFixture fixture;
  fixture.feed->lists.push_back(
    BackendUpdate{ { { BackendServerName{ "a" }, MakeBackend("a"), { 3 } } }, { 5 } });
  fixture.feed->watches.push_back(
    BackendUpdate{ { { BackendServerName{ "b" }, MakeBackend("b"), { 6 } },
                     { BackendServerName{ "a" }, std::nullopt, { 7 } } },
                   { 7 } });
  boost::asio::co_spawn(
    fixture.context, [&fixture] { return fixture.watcher->RunBackendWatch(); },
    boost::asio::detached);
  fixture.RunUntil([&fixture] { return fixture.feed->watched.size() == 2; });
  CHECK_TRUE(fixture.Has("b"));
  CHECK_FALSE(fixture.Has("a"));
  CHECK_EQUAL(platform::Version{ 5 }, fixture.feed->watched.at(0));
  CHECK_EQUAL(platform::Version{ 7 }, fixture.feed->watched.at(1));
  CHECK_EQUAL(platform::Version{ 7 }, fixture.state->storeSync.newestEntryRevision);
}

// Guards against missing the changes between a list of a restored store and the revision that was
// known before.
MASTICSTEP_TEST("a restored store is watched from the revision of its list",
                "[relay][watcher][restored]")
{
  WatcherFixture fixture;
  fixture.feed->lists.push_back(
    BackendUpdate{ { { BackendServerName{ "a" }, MakeBackend("a"), { 58, 1 } } }, { 59, 1 } });
  fixture.feed->watches.push_back(Failure(FeedError{ FeedErrorKind::Unavailable, {} }));
  fixture.feed->lists.push_back(
    BackendUpdate{ { { BackendServerName{ "a" }, MakeBackend("a"), { 52, 2 } } }, { 56, 2 } });
  dispatch::Backend leaving = MakeBackend("a");
  leaving.isDraining = true;
  fixture.feed->watches.push_back(
    BackendUpdate{ { { BackendServerName{ "a" }, leaving, { 57, 2 } } }, { 57, 2 } });
  boost::asio::co_spawn(
    fixture.context, [&fixture] { return fixture.watcher->RunBackendWatch(); },
    boost::asio::detached);
  fixture.RunUntil([&fixture] { return fixture.feed->watched.size() == 3; });
  CHECK_EQUAL((platform::Version{ 56, 2 }), fixture.feed->watched.at(1));
  CHECK_EQUAL((platform::Version{ 57, 2 }), fixture.feed->watched.at(2));
  CHECK_TRUE(fixture.state->directory.Backends().at(BackendServerName{ "a" }).isDraining);
}

// Guards against a daemon that waits in a watch which the restored store has forgotten, while its
// peers know that the store went back.
MASTICSTEP_TEST("a restored store is read when a peer reports its era",
                "[relay][watcher][restored]")
{
  WatcherFixture fixture;
  fixture.feed->lists.push_back(BackendUpdate{ {}, { 59, 1 } });
  const auto spawn = [&fixture](auto aFunction) {
    boost::asio::co_spawn(fixture.context, std::move(aFunction), boost::asio::detached);
  };
  spawn([&fixture] { return fixture.watcher->RunBackendWatch(); });
  spawn([&fixture] { return fixture.watcher->RunBackendResync(); });
  fixture.RunUntil([&fixture] { return fixture.feed->watched.size() == 1; });
  fixture.feed->lists.push_back(
    BackendUpdate{ { { BackendServerName{ "a" }, MakeBackend("a"), { 12, 2 } } }, { 14, 2 } });
  fixture.state->storeSync.storeEra = 2;
  fixture.RunUntil([&fixture] { return fixture.Has("a"); });
  CHECK_EQUAL((platform::Version{ 12, 2 }), fixture.state->storeSync.newestEntryRevision);
  CHECK_EQUAL((platform::Version{ 14, 2 }), fixture.state->storeSync.backendChangeRevision);
  // An answer that the store sent before the restore arrives late.
  fixture.feed->watches.push_back(
    BackendUpdate{ { { BackendServerName{ "a" }, std::nullopt, { 60, 1 } } }, { 60, 1 } });
  fixture.RunUntil([&fixture] { return fixture.feed->watched.size() == 2; });
  CHECK_TRUE(fixture.Has("a"));
  CHECK_EQUAL((platform::Version{ 14, 2 }), fixture.feed->watched.at(1));
}

// Guards against stale state: a store that has discarded its history reports none of the missed
// changes on a resumed watch.
MASTICSTEP_TEST("a failed watch is followed by a new list", "[relay][watcher][failure]")
{
  for (const FeedErrorKind kind : { FeedErrorKind::Unavailable, FeedErrorKind::HistoryGone }) {
    WatcherFixture fixture;
    fixture.feed->lists.push_back(BackendUpdate{ {}, { 5 } });
    fixture.feed->watches.push_back(Failure(FeedError{ kind, {} }));
    fixture.feed->lists.push_back(
      BackendUpdate{ { { BackendServerName{ "a" }, MakeBackend("a"), { 8 } } }, { 9 } });
    boost::asio::co_spawn(
      fixture.context, [&fixture] { return fixture.watcher->RunBackendWatch(); },
      boost::asio::detached);
    fixture.RunUntil([&fixture] { return fixture.feed->watched.size() == 2; });
    CHECK_TRUE(fixture.Has("a"));
    CHECK_EQUAL(platform::Version{ 9 }, fixture.feed->watched.at(1));
  }
}

// Guards against a rollback to an older configuration.
MASTICSTEP_TEST("an older configuration is ignored", "[relay][watcher][config]")
{
  WatcherFixture fixture;
  fixture.feed->reads.push_back(RouteTableUpdate{ TableOf(8), { 10 } });
  boost::asio::co_spawn(
    fixture.context, [&fixture] { return fixture.watcher->RunRouteTableWatch(); },
    boost::asio::detached);
  fixture.RunUntil([&fixture] { return fixture.state->table != nullptr; });
  fixture.feed->reads.push_back(RouteTableUpdate{ TableOf(7), { 12 } });
  fixture.state->storeSync.peersConfigurationVersion = 9;
  boost::asio::co_spawn(
    fixture.context, [&fixture] { return fixture.watcher->RunRouteTableResync(); },
    boost::asio::detached);
  fixture.RunUntil([&fixture] { return fixture.feed->reads.empty(); });
  CHECK_EQUAL(std::uint64_t{ 8 }, fixture.state->table->Version());
}

// Guards against a watch that the store lost silently while a peer has a newer configuration.
MASTICSTEP_TEST("a daemon reads the configuration when a peer reports a newer version",
                "[relay][watcher][failure]")
{
  WatcherFixture fixture;
  fixture.feed->reads.push_back(RouteTableUpdate{ TableOf(8), { 10 } });
  boost::asio::co_spawn(
    fixture.context, [&fixture] { return fixture.watcher->RunRouteTableWatch(); },
    boost::asio::detached);
  boost::asio::co_spawn(
    fixture.context, [&fixture] { return fixture.watcher->RunRouteTableResync(); },
    boost::asio::detached);
  fixture.RunUntil([&fixture] { return fixture.state->table != nullptr; });
  fixture.state->storeSync.isStorePoller = false;
  fixture.state->storeSync.peersConfigurationVersion = 11;
  fixture.feed->reads.push_back(RouteTableUpdate{ TableOf(11), { 14 } });
  fixture.RunUntil([&fixture] { return fixture.state->table->Version() == 11; });
}

// Guards against a daemon that stops reading while its watch is pending at a store that lost it.
// Here the first resync falls into the outage, too.
MASTICSTEP_TEST("a daemon with a lost watch retries reading until the store responds",
                "[relay][watcher][failure]")
{
  WatcherFixture fixture;
  fixture.feed->reads.push_back(RouteTableUpdate{ TableOf(8), { 10 } });
  fixture.feed->reads.push_back(Failure(FeedError{ FeedErrorKind::Unavailable, {} }));
  fixture.feed->reads.push_back(RouteTableUpdate{ TableOf(11), { 14 } });
  fixture.watcher = std::make_shared<PlatformWatcher>(
    fixture.state, fixture.feed, WatchOptions{ Milliseconds(1), Milliseconds(1), 1 });
  boost::asio::co_spawn(
    fixture.context, [&fixture] { return fixture.watcher->RunRouteTableWatch(); },
    boost::asio::detached);
  boost::asio::co_spawn(
    fixture.context, [&fixture] { return fixture.watcher->RunRouteTableResync(); },
    boost::asio::detached);
  const Time end = net::Now() + Seconds(5);
  fixture.RunUntil([&] {
    return net::Now() > end || (fixture.state->table && fixture.state->table->Version() == 11);
  });
  CHECK_TRUE(fixture.state->table && fixture.state->table->Version() == 11);
}

// Guards against a daemon that stays on the platform's old address after a change of settings.
MASTICSTEP_TEST("a new feed is read while a watch on the old one is pending",
                "[relay][watcher][config]")
{
  WatcherFixture fixture;
  fixture.feed->lists.push_back(BackendUpdate{ {}, { 5 } });
  const std::shared_ptr<QueuedFeed> next = std::make_shared<QueuedFeed>();
  next->lists.push_back(
    BackendUpdate{ { { BackendServerName{ "a" }, MakeBackend("a"), { 8 } } }, { 9 } });
  boost::asio::co_spawn(
    fixture.context, [&fixture] { return fixture.watcher->RunBackendWatch(); },
    boost::asio::detached);
  boost::asio::co_spawn(
    fixture.context, [&fixture] { return fixture.watcher->RunBackendResync(); },
    boost::asio::detached);
  fixture.RunUntil([&fixture] { return fixture.feed->watched.size() == 1; });
  fixture.watcher->SetFeed(next);
  const Time end = net::Now() + Seconds(5);
  fixture.RunUntil([&] { return net::Now() > end || fixture.Has("a"); });
  CHECK_TRUE(fixture.Has("a"));
}

// Guards against a load on the store that grows with the number of daemons.
MASTICSTEP_TEST("a follower calls the store only when a peer reports a change", "[relay][watcher]")
{
  WatcherFixture fixture;
  fixture.Follow(net::Now() + Seconds(60));
  fixture.feed->lists.push_back(BackendUpdate{ {}, { 5 } });
  fixture.state->storeSync.peersBackendChangeRevision = { 5 };
  boost::asio::co_spawn(
    fixture.context, [&fixture] { return fixture.watcher->RunBackendWatch(); },
    boost::asio::detached);
  fixture.RunFor(Milliseconds(300));
  CHECK_TRUE(fixture.feed->lists.empty());
  CHECK_TRUE(fixture.feed->watched.empty());
  fixture.feed->watches.push_back(
    BackendUpdate{ { { BackendServerName{ "b" }, MakeBackend("b"), { 8 } } }, { 9 } });
  fixture.state->storeSync.peersBackendChangeRevision = { 8 };
  fixture.RunUntil([&fixture] { return fixture.Has("b"); });
  fixture.RunFor(Milliseconds(300));
  CHECK_EQUAL(std::size_t{ 1 }, fixture.feed->watched.size());
}

MASTICSTEP_TEST("a follower reads the configuration that a peer reports",
                "[relay][watcher][config]")
{
  WatcherFixture fixture;
  fixture.Follow(net::Now() + Seconds(60));
  fixture.feed->reads.push_back(RouteTableUpdate{ TableOf(3), { 5 } });
  boost::asio::co_spawn(
    fixture.context, [&fixture] { return fixture.watcher->RunRouteTableWatch(); },
    boost::asio::detached);
  fixture.RunUntil([&fixture] { return fixture.state->table != nullptr; });
  fixture.feed->tables.push_back(RouteTableUpdate{ TableOf(4), { 9 } });
  fixture.RunFor(Milliseconds(300));
  CHECK_EQUAL(std::uint64_t{ 3 }, fixture.state->table->Version());
  fixture.state->storeSync.peersConfigurationVersion = 4;
  fixture.RunUntil([&fixture] { return fixture.state->table->Version() == 4; });
}

// The store may turn some daemons away and serve the others. Guards against a daemon that relies on
// peers which know no more than itself.
MASTICSTEP_TEST("a follower whose peers lost the store watches it itself",
                "[relay][watcher][failure]")
{
  WatcherFixture fixture;
  fixture.Follow(net::Now() - Seconds(1));
  fixture.feed->lists.push_back(BackendUpdate{ {}, { 5 } });
  boost::asio::co_spawn(
    fixture.context, [&fixture] { return fixture.watcher->RunBackendWatch(); },
    boost::asio::detached);
  fixture.RunUntil([&fixture] { return fixture.feed->watched.size() == 1; });
  CHECK_EQUAL(platform::Version{ 5 }, fixture.feed->watched.at(0));
}

// Guards against followers that keep using a backend server whose removal a watcher saw only as its
// absence from a list.
MASTICSTEP_TEST("a list that lacks a backend server is a change to report", "[relay][watcher]")
{
  WatcherFixture fixture;
  fixture.feed->lists.push_back(
    BackendUpdate{ { { BackendServerName{ "a" }, MakeBackend("a"), { 3 } } }, { 5 } });
  fixture.feed->watches.push_back(Failure(FeedError{ FeedErrorKind::HistoryGone, {} }));
  fixture.feed->lists.push_back(BackendUpdate{ {}, { 9 } });
  boost::asio::co_spawn(
    fixture.context, [&fixture] { return fixture.watcher->RunBackendWatch(); },
    boost::asio::detached);
  fixture.RunUntil([&fixture] { return fixture.feed->watched.size() == 2; });
  CHECK_EQUAL(platform::Version{ 9 }, fixture.state->storeSync.backendChangeRevision);
}

// A connection may go silent for good while new ones work. Guards against followers that rely on a
// poller whose watch of the backend servers is dead, only since the configuration is answered.
MASTICSTEP_TEST("an answer about the configuration is no news of the backend servers",
                "[relay][watcher][failure]")
{
  WatcherFixture fixture;
  fixture.feed->lists.push_back(BackendUpdate{ {}, { 5 } });
  fixture.feed->reads.push_back(RouteTableUpdate{ TableOf(3), { 5 } });
  boost::asio::co_spawn(
    fixture.context, [&fixture] { return fixture.watcher->RunBackendWatch(); },
    boost::asio::detached);
  boost::asio::co_spawn(
    fixture.context, [&fixture] { return fixture.watcher->RunRouteTableWatch(); },
    boost::asio::detached);
  fixture.RunUntil([&fixture] { return fixture.state->storeSync.storeContact.has_value(); });
  fixture.RunFor(Milliseconds(50));
  const Time before = net::Now();
  fixture.feed->tables.push_back(RouteTableUpdate{ TableOf(4), { 9 } });
  fixture.RunUntil([&fixture] { return fixture.state->table->Version() == 4; });
  CHECK_TRUE(*fixture.state->storeSync.storeContact < before);
}

// Guards against followers that learn too late that the poller lost the store.
MASTICSTEP_TEST("the store poller ends its watches before its followers stop relying on it",
                "[relay][watcher]")
{
  WatcherFixture fixture;
  fixture.state->storeSync.isStorePoller = true;
  fixture.state->storeSync.mayHaveFollowers = true;
  fixture.feed->lists.push_back(BackendUpdate{ {}, { 5 } });
  fixture.feed->reads.push_back(RouteTableUpdate{ TableOf(3), { 5 } });
  boost::asio::co_spawn(
    fixture.context, [&fixture] { return fixture.watcher->RunBackendWatch(); },
    boost::asio::detached);
  boost::asio::co_spawn(
    fixture.context, [&fixture] { return fixture.watcher->RunRouteTableWatch(); },
    boost::asio::detached);
  fixture.RunUntil([&fixture] {
    return fixture.feed->backendWait > Duration::zero() &&
           fixture.feed->tableWait > Duration::zero();
  });
  // The fixture's watch pause is 1 ms; followers rely on a response for three pauses.
  CHECK_TRUE(fixture.feed->backendWait < Milliseconds(3));
  CHECK_TRUE(fixture.feed->tableWait < Milliseconds(3));
}

// Guards against configurations and changes of backend servers that arrive seconds late, because
// the store fell silent as a watch reached it and has dropped that watch.
MASTICSTEP_TEST("watches that a silent store may have dropped are sent anew",
                "[relay][watcher][failure]")
{
  for (const bool isSeenByPeer : { false, true }) {
    WatcherFixture fixture;
    fixture.feed->lists.push_back(BackendUpdate{ {}, { 5 } });
    fixture.feed->reads.push_back(RouteTableUpdate{ TableOf(3), { 5 } });
    fixture.feed->isSilent = true;
    const auto spawn = [&fixture](auto aRun) {
      boost::asio::co_spawn(fixture.context, std::move(aRun), boost::asio::detached);
    };
    spawn([&fixture] { return fixture.watcher->RunBackendWatch(); });
    spawn([&fixture] { return fixture.watcher->RunRouteTableWatch(); });
    spawn([&fixture] { return fixture.watcher->RunBackendResync(); });
    spawn([&fixture] { return fixture.watcher->RunRouteTableResync(); });
    fixture.RunUntil([&fixture] {
      return !fixture.feed->watched.empty() && fixture.feed->tableWait > Duration::zero();
    });
    fixture.feed->isSilent = false;
    fixture.feed->watches.push_back(
      BackendUpdate{ { { BackendServerName{ "a" }, MakeBackend("a"), { 8 } } }, { 9 } });
    fixture.feed->tables.push_back(RouteTableUpdate{ TableOf(4), { 9 } });
    fixture.RunFor(Milliseconds(400));
    CHECK_FALSE(fixture.Has("a"));
    if (isSeenByPeer) {
      ++fixture.state->storeSync.peersRecoveries;
    } else {
      fixture.state->storeReach.OnSent(net::Now() - duties::StoreReach::kMaximumSilence);
      fixture.state->storeReach.OnAnswered(net::Now());
    }
    // A new configuration must be in force within 2.5 s, answers of the store included.
    const Time end = net::Now() + Seconds(1);
    fixture.RunUntil([&] {
      return net::Now() > end || (fixture.Has("a") && fixture.state->table->Version() == 4);
    });
    CHECK_TRUE(fixture.Has("a"));
    CHECK_EQUAL(std::uint64_t{ 4 }, fixture.state->table->Version());
    CHECK_EQUAL(platform::Version{ 5 }, fixture.feed->watched.at(1));
  }
}
