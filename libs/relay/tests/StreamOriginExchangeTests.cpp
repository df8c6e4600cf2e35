#include "StreamOriginExchange.hpp"

#include "ReachTrackingStore.hpp"
#include "RelayFixture.hpp"
#include "SynchronousStore.hpp"
#include "masticstep/base/Hash.hpp"
#include "masticstep/net/Clock.hpp"
#include "masticstep/net/Sleep.hpp"
#include "masticstep/testing/Test.hpp"
#include "masticstep/wire/OriginReport.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <functional>
#include <initializer_list>

using namespace masticstep;
using namespace masticstep::relay;

namespace {

const ServiceName kService{ "llm" };
const SoftwareVersion kOld{ "v1" };
const SoftwareVersion kNew{ "v2" };
const DataCentreName kDataCentre{ "east" };
const std::string kPrefix = "masticstep-stream-origins/";
// Until the store poller has written what it knows.
constexpr Duration kUntilStored = kElectionTime + Milliseconds(600);

// One daemon, by default without peers.
struct OriginDaemon
{
  explicit OriginDaemon(std::shared_ptr<SynchronousStore> aStore)
    : store(std::move(aStore))
  {
  }

  void SetVersions(std::initializer_list<SoftwareVersion> aVersions, Time aNow = net::Now())
  {
    std::map<BackendServerName, dispatch::Backend> backends;
    for (const SoftwareVersion& version : aVersions) {
      dispatch::Backend backend;
      backend.id = BackendServerName{ "i-" + version.Text() };
      backend.service = kService;
      backend.softwareVersion = version;
      backends[backend.id] = backend;
    }
    state->streamOrigins.OnBackends(backends, aNow);
  }
  void Begin(const std::string& aAttempt, const SoftwareVersion& aVersion)
  {
    state->streamOrigins.OnBegan(aAttempt, kService, aVersion, net::Now());
  }
  void Run(Duration aLength)
  {
    context.restart();
    context.run_for(aLength);
  }
  void StartSync()
  {
    boost::asio::co_spawn(
      context, [this] { return exchange->SyncWithStore(); }, boost::asio::detached);
  }
  net::Task<bool> ReadBackends()
  {
    onBackendsRead();
    co_return true;
  }
  // Empty without a known origin.
  SoftwareVersion Find(const std::string& aAttempt, Duration aTime = Seconds(2))
  {
    std::optional<StreamStart> found;
    bool isDone = false;
    boost::asio::co_spawn(
      context,
      [&]() -> net::Task<void> {
        std::string attempt = aAttempt;
        std::vector<ServiceName> services{ kService };
        found =
          co_await exchange->FindStart(std::move(attempt), std::move(services), net::Now() + aTime);
        isDone = true;
      },
      boost::asio::detached);
    const Time begin = net::Now();
    while (!isDone && net::Now() < begin + Seconds(10)) {
      Run(Milliseconds(5));
    }
    CHECK_TRUE(isDone);
    return found.value_or(StreamStart{}).version;
  }

  std::shared_ptr<SynchronousStore> store;
  boost::asio::io_context context{ 1 };
  std::shared_ptr<RelayState> state = std::make_shared<RelayState>(
    context.get_executor(), std::make_shared<TestDialect>(), dispatch::Locality{}, 1);
  std::shared_ptr<StreamOriginExchange> exchange = std::make_shared<StreamOriginExchange>(
    state, nullptr, store, kDataCentre, 1, [this] { return ReadBackends(); });
  std::function<void()> onBackendsRead = [] {};
};

void Put(SynchronousStore& aStore, const std::string& aName, const std::string& aBody)
{
  const platform::ObjectKey key{ kPrefix + aName };
  aStore.Submit({ 1, platform::ConditionalWrite{ key, std::nullopt, aBody } },
                [](const platform::PlatformReply&) {});
}

std::size_t CountObjects(const SynchronousStore& aStore, bool aOfRecords)
{
  return static_cast<std::size_t>(
    std::count_if(aStore.All().begin(), aStore.All().end(), [aOfRecords](const auto& aItem) {
      return aItem.second.body.starts_with("{") &&
             aItem.first.Text().ends_with("versions") != aOfRecords;
    }));
}

} // namespace

// Guards against streams that go on at another version after all daemons were killed.
MASTICSTEP_TEST("a daemon that starts finds the origins that others have stored",
                "[relay][origins]")
{
  const std::shared_ptr<SynchronousStore> store = std::make_shared<SynchronousStore>();
  {
    OriginDaemon killed(store);
    killed.SetVersions({ kOld, kNew });
    killed.Begin("a", kOld);
    killed.Begin("b", kNew);
    killed.StartSync();
    killed.Run(kUntilStored);
  }
  OriginDaemon daemon(store);
  daemon.SetVersions({ kNew });
  CHECK_EQUAL(kOld, daemon.Find("a"));
  CHECK_EQUAL(kNew, daemon.Find("b"));
  CHECK_EQUAL(SoftwareVersion{}, daemon.Find("c"));
}

// Guards against a daemon that takes the only version in service for that of all streams, though
// another one left while all daemons were down.
MASTICSTEP_TEST("a version that left while no daemon ran still counts", "[relay][origins]")
{
  const std::shared_ptr<SynchronousStore> store = std::make_shared<SynchronousStore>();
  {
    OriginDaemon killed(store);
    killed.SetVersions({ kOld });
    killed.Begin("a", kOld);
    killed.StartSync();
    killed.Run(kUntilStored);
  }
  CHECK_EQUAL(std::size_t{ 1 }, CountObjects(*store, true));
  CHECK_EQUAL(std::size_t{ 1 }, CountObjects(*store, false));
  OriginDaemon daemon(store);
  daemon.SetVersions({ kNew });
  CHECK_EQUAL(kOld, daemon.Find("a"));
  CHECK_EQUAL(SoftwareVersion{}, daemon.Find("unrecorded"));
  OriginDaemon other(store);
  other.SetVersions({ kOld });
  CHECK_EQUAL(kOld, other.Find("unrecorded"));
}

// Guards against needless calls of the platform's store.
MASTICSTEP_TEST("with one version in service records are stored twice a second", "[relay][origins]")
{
  OriginDaemon daemon(std::make_shared<SynchronousStore>());
  daemon.SetVersions({ kOld });
  daemon.StartSync();
  for (int i = 0; i < 20; ++i) {
    daemon.Begin(std::to_string(i), kOld);
    daemon.Run(Milliseconds(150));
  }
  // The version, and the records of three seconds less the election.
  CHECK_TRUE(daemon.store->writes >= 3);
  CHECK_TRUE(daemon.store->writes <= 5);
}

MASTICSTEP_TEST("records that arrive while a lookup waits are found", "[relay][origins]")
{
  const std::shared_ptr<SynchronousStore> store = std::make_shared<SynchronousStore>();
  OriginDaemon daemon(store);
  daemon.SetVersions({ kOld, kNew });
  const auto storeLate = [&store]() -> net::Task<void> {
    co_await net::Sleep(Milliseconds(200));
    const StoredOrigins stored{ { { kService, kNew, { dispatch::StreamOrigins::StreamId("a") } } },
                                {} };
    Put(*store, "x", EncodeStoredOrigins(stored, 1));
  };
  boost::asio::co_spawn(daemon.context, storeLate, boost::asio::detached);
  CHECK_EQUAL(kNew, daemon.Find("a"));
}

// Guards against streams of two versions at a daemon that the store turns away: it takes the
// version that it knows for the only one, although another one has joined.
MASTICSTEP_TEST("without the store only recorded origins are told", "[relay][origins][failure]")
{
  OriginDaemon daemon(std::make_shared<SynchronousStore>());
  daemon.SetVersions({ kOld }, net::Now() - dispatch::StreamOrigins::kStreamLifetime);
  daemon.state->storeSync.storeContact = net::Now();
  daemon.store->SetOutage(true);
  daemon.Begin("recorded", kOld);
  CHECK_EQUAL(kOld, daemon.Find("recorded"));
  // Far less than the time of the lookup: the refusal does not wait for the end of an outage.
  const Time begin = net::Now();
  CHECK_EQUAL(SoftwareVersion{}, daemon.Find("unrecorded", Seconds(8)));
  CHECK_TRUE(net::Now() < begin + Seconds(4));
  daemon.SetVersions({ kOld, kNew });
  CHECK_EQUAL(SoftwareVersion{}, daemon.Find("unrecorded", Milliseconds(300)));
  OriginDaemon restarted(daemon.store);
  restarted.SetVersions({ kOld });
  CHECK_EQUAL(SoftwareVersion{}, restarted.Find("unrecorded", Milliseconds(300)));
}

// Guards against a belief that is older than the version it should know: the daemon has heard of
// the store a moment ago, but not of the version that has joined since.
MASTICSTEP_TEST("an origin without a record is told only after a new read of the store",
                "[relay][origins][failure]")
{
  const std::shared_ptr<SynchronousStore> store = std::make_shared<SynchronousStore>();
  OriginDaemon daemon(store);
  daemon.SetVersions({ kOld }, net::Now() - dispatch::StreamOrigins::kStreamLifetime);
  daemon.state->storeSync.storeContact = net::Now();
  CHECK_EQUAL(kOld, daemon.Find("a"));
  const StoredOrigins joined{ {}, { { kService, kNew, Duration::zero() } } };
  Put(*store, "others-versions", EncodeStoredOrigins(joined, 1));
  daemon.state->storeSync.storeContact = net::Now();
  CHECK_EQUAL(SoftwareVersion{}, daemon.Find("b"));
}

// Guards against streams of two versions while the store pollers have not yet noticed a version
// that has an entry.
MASTICSTEP_TEST("an origin without a record is told only after a new list of backend servers",
                "[relay][origins][failure]")
{
  OriginDaemon daemon(std::make_shared<SynchronousStore>());
  daemon.SetVersions({ kOld }, net::Now() - dispatch::StreamOrigins::kStreamLifetime);
  daemon.onBackendsRead = [&daemon] { daemon.SetVersions({ kOld, kNew }); };
  CHECK_EQUAL(SoftwareVersion{}, daemon.Find("a"));
}

// Guards against refused take-ups where the record was written only some time after the lookup
// began.
MASTICSTEP_TEST("a record that comes late in a lookup is found", "[relay][origins]")
{
  const std::shared_ptr<SynchronousStore> store = std::make_shared<SynchronousStore>();
  OriginDaemon killed(store);
  killed.SetVersions({ kOld, kNew });
  killed.Begin("a", kOld);
  killed.StartSync();
  OriginDaemon daemon(store);
  daemon.SetVersions({ kOld, kNew });
  killed.Run(kElectionTime - Milliseconds(400));
  const Time begin = net::Now();
  boost::asio::co_spawn(
    daemon.context,
    [&killed, begin]() -> net::Task<void> {
      while (net::Now() < begin + Seconds(1)) {
        killed.Run(Milliseconds(1));
        co_await net::Sleep(Milliseconds(5));
      }
    },
    boost::asio::detached);
  CHECK_EQUAL(kOld, daemon.Find("a"));
}

// Guards against records that are lost with a store that comes back from an older copy.
MASTICSTEP_TEST("a restored store gets the versions and records again",
                "[relay][origins][restored]")
{
  OriginDaemon daemon(std::make_shared<SynchronousStore>());
  const platform::InMemoryPlatform copy = daemon.store->Copy();
  daemon.SetVersions({ kOld, kNew });
  daemon.Begin("a", kOld);
  daemon.StartSync();
  daemon.Run(kUntilStored);
  daemon.store->RestoreFrom(copy);
  CHECK_EQUAL(std::size_t{ 0 }, CountObjects(*daemon.store, true));
  daemon.state->storeSync.storeEra = 1;
  daemon.Run(Milliseconds(700));
  OriginDaemon restarted(daemon.store);
  restarted.SetVersions({ kNew });
  CHECK_EQUAL(kOld, restarted.Find("a"));
}

// Guards against records that stay unwritten after a write whose object another process deleted.
MASTICSTEP_TEST("records are written although their object was deleted",
                "[relay][origins][failure]")
{
  OriginDaemon daemon(std::make_shared<SynchronousStore>());
  const platform::InMemoryPlatform empty = daemon.store->Copy();
  daemon.SetVersions({ kOld, kNew });
  daemon.Begin("a", kOld);
  daemon.StartSync();
  daemon.Run(kUntilStored);
  daemon.store->RestoreFrom(empty);
  daemon.Begin("b", kNew);
  daemon.Run(Milliseconds(800));
  CHECK_EQUAL(std::size_t{ 1 }, CountObjects(*daemon.store, true));
  OriginDaemon restarted(daemon.store);
  restarted.SetVersions({ kNew, kOld });
  CHECK_EQUAL(kNew, restarted.Find("b"));
}

// Guards against an entry of another writer that hides the others.
MASTICSTEP_TEST("objects that cannot be read do not hide others", "[relay][origins][failure]")
{
  const std::shared_ptr<SynchronousStore> store = std::make_shared<SynchronousStore>();
  Put(*store, "a", "no json");
  Put(*store, "b", R"({"groups":[{"service":"llm","version":"v1","streams":"12"}],"versions":[]})");
  Put(*store, "c", R"({"groups":7,"versions":[{"service":"llm"}]})");
  const StoredOrigins stored{
    { { kService, kOld, { 7, dispatch::StreamOrigins::StreamId("a"), 0xffffffffffffffff } } },
    { { kService, kOld, Milliseconds(20) } }
  };
  const std::string body = EncodeStoredOrigins(stored, 1);
  CHECK_TRUE(DecodeStoredOrigins(body) == stored);
  Put(*store, "d", body);
  OriginDaemon daemon(store);
  daemon.SetVersions({ kNew });
  CHECK_EQUAL(kOld, daemon.Find("a"));
}

// Guards against a malformed datagram that stops a daemon or adds records.
MASTICSTEP_TEST("a peer's origin report is applied and a malformed one is not", "[relay][origins]")
{
  OriginDaemon daemon(std::make_shared<SynchronousStore>());
  daemon.SetVersions({ kOld, kNew });
  const std::string datagram = wire::EncodeOriginReport(
    { { { kService, kNew, { dispatch::StreamOrigins::StreamId("a") } } } });
  daemon.exchange->Apply(datagram.substr(0, datagram.size() / 2));
  CHECK_EQUAL(std::size_t{ 0 }, daemon.state->streamOrigins.StreamCount());
  daemon.exchange->Apply(datagram);
  CHECK_EQUAL(kNew, daemon.Find("a"));
}

// Guards against take-ups that have to wait for the store, or fail without it, though a daemon of
// the same data centre was told of the stream.
MASTICSTEP_TEST("a daemon's records reach its peers as datagrams", "[relay][origins][reports]")
{
  const std::shared_ptr<SynchronousStore> store = std::make_shared<SynchronousStore>();
  boost::asio::io_context context(1);
  std::vector<std::shared_ptr<RelayState>> states;
  std::vector<std::shared_ptr<WorkReportChannel>> channels;
  std::vector<std::shared_ptr<StreamOriginExchange>> exchanges;
  for (const char* host : { "host-1", "host-2" }) {
    states.push_back(std::make_shared<RelayState>(
      context.get_executor(), std::make_shared<TestDialect>(), dispatch::Locality{}, 1));
    channels.push_back(WorkReportChannel::Create(states.back(), store, HostName{ host },
                                                 kDataCentre, { "127.0.0.1", 0 }));
    exchanges.push_back(std::make_shared<StreamOriginExchange>(
      states.back(), channels.back(), store, kDataCentre, exchanges.size(),
      []() -> net::Task<bool> { co_return true; }));
    channels.back()->OnOriginReport(
      [exchange = exchanges.back()](std::string_view aDatagram) { exchange->Apply(aDatagram); });
    boost::asio::co_spawn(context, channels.back()->DiscoverPeers(), boost::asio::detached);
    context.poll();
  }
  // The first daemon learns of the second one by its reports.
  for (const std::shared_ptr<WorkReportChannel>& channel : channels) {
    boost::asio::co_spawn(context, channel->Receive(), boost::asio::detached);
    boost::asio::co_spawn(context, channel->SendReports(), boost::asio::detached);
  }
  for (const std::shared_ptr<StreamOriginExchange>& exchange : exchanges) {
    boost::asio::co_spawn(context, exchange->SendRecords(), boost::asio::detached);
  }
  // One version: the records must be there before a second one appears.
  dispatch::Backend only;
  only.id = BackendServerName{ "i-1" };
  only.service = kService;
  only.softwareVersion = kOld;
  states[0]->streamOrigins.OnBackends({ { only.id, only } }, net::Now());
  states[0]->streamOrigins.OnBegan("a", kService, kOld, net::Now());
  context.run_for(Seconds(1));
  CHECK_TRUE((states[1]->streamOrigins.Find("a", kService, net::Now()) ==
              dispatch::StreamOrigin{ dispatch::OriginKind::Known, kOld }));
}

namespace {

// How one daemon's path to the store fails.
enum class StoreFault : std::uint8_t
{
  None,
  Reset,  // connections fail at once
  Silent, // calls get no answer
  Refused // the store turns the daemon away
};

// One daemon's path to a store that others reach.
class FaultyPath : public platform::ObjectStore
{
public:
  FaultyPath(boost::asio::io_context& aContext, std::shared_ptr<SynchronousStore> aStore)
    : mContext(aContext)
    , mStore(std::move(aStore))
  {
  }

  void Submit(platform::PlatformRequest aRequest, Callback aCallback) override
  {
    platform::PlatformReply reply;
    reply.number = aRequest.number;
    switch (fault) {
      case StoreFault::None:
        mStore->Submit(std::move(aRequest), std::move(aCallback));
        return;
      case StoreFault::Reset:
        reply.status = platform::PlatformStatus::NotSent;
        break;
      case StoreFault::Refused:
        reply.status = platform::PlatformStatus::Refused;
        break;
      case StoreFault::Silent:
        ReplyLate(std::move(aCallback), reply);
        return;
    }
    aCallback(reply);
  }

  StoreFault fault = StoreFault::None;

private:
  static constexpr Duration kCallTimeout = Seconds(1);

  void ReplyLate(Callback aCallback, const platform::PlatformReply& aReply)
  {
    boost::asio::co_spawn(
      mContext,
      [callback = std::move(aCallback), reply = aReply]() -> net::Task<void> {
        co_await net::Sleep(kCallTimeout);
        callback(reply);
      },
      boost::asio::detached);
  }

  boost::asio::io_context& mContext;
  const std::shared_ptr<SynchronousStore> mStore;
};

// A daemon that exchanges datagrams with others of its data centre.
struct PeerDaemon
{
  PeerDaemon(boost::asio::io_context& aContext, std::shared_ptr<SynchronousStore> aStore,
             const HostName& aHost)
    : path(std::make_shared<FaultyPath>(aContext, std::move(aStore)))
    , state(std::make_shared<RelayState>(aContext.get_executor(), std::make_shared<TestDialect>(),
                                         dispatch::Locality{}, 1))
    , store(std::make_shared<ReachTrackingStore>(state, path))
    , channel(WorkReportChannel::Create(state, store, aHost, kDataCentre, { "127.0.0.1", 0 }))
    , exchange(std::make_shared<StreamOriginExchange>(state, channel, store, kDataCentre,
                                                      Hash64(aHost.Text()),
                                                      []() -> net::Task<bool> { co_return true; }))
  {
    channel->OnOriginReport(
      [exchange = exchange](std::string_view aDatagram) { exchange->Apply(aDatagram); });
    boost::asio::co_spawn(aContext, channel->DiscoverPeers(), boost::asio::detached);
    aContext.poll(); // so that the next daemon finds the entry of this one
    boost::asio::co_spawn(aContext, channel->Receive(), boost::asio::detached);
    boost::asio::co_spawn(aContext, channel->SendReports(), boost::asio::detached);
    boost::asio::co_spawn(aContext, exchange->SendRecords(), boost::asio::detached);
    boost::asio::co_spawn(aContext, exchange->SyncWithStore(), boost::asio::detached);
  }

  std::shared_ptr<FaultyPath> path;
  std::shared_ptr<RelayState> state;
  std::shared_ptr<ReachTrackingStore> store;
  std::shared_ptr<WorkReportChannel> channel;
  std::shared_ptr<StreamOriginExchange> exchange;
};

std::map<BackendServerName, dispatch::Backend> TwoVersions()
{
  std::map<BackendServerName, dispatch::Backend> backends;
  for (const SoftwareVersion& version : { kOld, kNew }) {
    dispatch::Backend backend;
    backend.id = BackendServerName{ "i-" + version.Text() };
    backend.service = kService;
    backend.softwareVersion = version;
    backends[backend.id] = backend;
  }
  return backends;
}

} // namespace

// Guards against take-ups that are refused at daemons that reach the store, because the one daemon
// that writes the records of their data centre does not.
MASTICSTEP_TEST("records are stored while the store poller does not reach the store",
                "[relay][origins][reports][failure]")
{
  const std::shared_ptr<SynchronousStore> store = std::make_shared<SynchronousStore>();
  boost::asio::io_context context(1);
  PeerDaemon first(context, store, HostName{ "host-1" });
  PeerDaemon second(context, store, HostName{ "host-2" });
  const bool isFirstPoller = Hash64("host-1") < Hash64("host-2");
  PeerDaemon& poller = isFirstPoller ? first : second;
  PeerDaemon& other = isFirstPoller ? second : first;
  for (PeerDaemon* daemon : { &first, &second }) {
    daemon->state->streamOrigins.OnBackends(TwoVersions(), net::Now());
  }
  context.run_for(kUntilStored);
  CHECK_TRUE(poller.state->storeSync.isStorePoller);
  CHECK_FALSE(other.state->storeSync.isStorePoller);
  int streams = 0;
  for (const StoreFault fault : { StoreFault::Reset, StoreFault::Silent, StoreFault::Refused }) {
    poller.path->fault = fault;
    const std::string attempt = "stream-" + std::to_string(++streams);
    other.state->streamOrigins.OnBegan(attempt, kService, kOld, net::Now());
    // A lookup reads the records for the last time 600 ms after its begin.
    context.run_for(Milliseconds(600));
    OriginDaemon restarted(store);
    restarted.SetVersions({ kOld, kNew });
    CHECK_EQUAL(kOld, restarted.Find(attempt));
    poller.path->fault = StoreFault::None;
    const std::uint64_t recoveries = other.state->storeSync.peersRecoveries;
    context.run_for(Seconds(2));
    CHECK_FALSE(other.state->storeSync.isStorePoller);
    CHECK_EQUAL(recoveries + 1, other.state->storeSync.peersRecoveries);
  }
  // Before a planned stop, since it ends without a last report.
  poller.state->drain = dispatch::DrainSchedule::Create(net::Now(), Seconds(8));
  context.run_for(Milliseconds(100));
  CHECK_TRUE(other.state->storeSync.isStorePoller);
}
