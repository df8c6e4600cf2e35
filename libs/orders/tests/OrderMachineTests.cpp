#include "masticstep/orders/OrderMachine.hpp"

#include "masticstep/orders/ShardObject.hpp"
#include "masticstep/platform/VirtualObjectStore.hpp"
#include "masticstep/testing/Test.hpp"

#include <map>

using namespace masticstep;
using namespace masticstep::orders;

namespace {

const std::string kKey = "20261204T040000Z-abcdefgh";
constexpr WallTime kWallTime{ 1796356801000 };

// One daemon on virtual time; the backend server responds immediately.
class Daemon
{
public:
  Daemon(platform::VirtualObjectStore& aStore, const std::string& aNonce)
    : mStore(aStore)
    , mMachine({ .processNonce = aNonce, .daemon = HostName{ "d" } })
  {
  }

  std::uint64_t Start(const std::string& aKey, const std::string& aDigest = "x",
                      Duration aDeadline = Seconds(30))
  {
    const std::uint64_t id = ++mRequests;
    HandleActions(mMachine.Start({ RequestId{ id }, ServiceName{ "s" }, AccountName{ "a" }, aKey,
                                   aDigest, mStore.Now() + aDeadline, kWallTime },
                                 mStore.Now()));
    return id;
  }

  OrderResponse Order(const std::string& aKey, const std::string& aDigest = "x",
                      Duration aDeadline = Seconds(30))
  {
    const std::uint64_t id = Start(aKey, aDigest, aDeadline);
    RunFor(Seconds(40));
    return mResponses.at(id);
  }

  void RunFor(Duration aSpan)
  {
    const Time end = mStore.Now() + aSpan;
    for (;;) {
      std::optional<Time> next = mMachine.NextWakeUp();
      const std::optional<Time> arrival = mStore.NextWakeUp();
      next = !next || (arrival && *arrival < *next) ? arrival : next;
      if (!next || *next > end) {
        break;
      }
      mStore.AdvanceTo(std::max(*next, mStore.Now()));
      HandleActions(mMachine.OnTime(mStore.Now()));
    }
    mStore.AdvanceTo(end);
  }

  std::string body = "ok";
  BackendStatus backend = BackendStatus::Responded;
  std::uint32_t dispatches = 0;
  std::map<std::uint64_t, OrderResponse> mResponses;
  OrderMachine& Machine() { return mMachine; }

private:
  void HandleActions(OrderActions aActions)
  {
    for (platform::PlatformRequest& request : aActions.requests) {
      mStore.Submit(std::move(request), [this](const platform::PlatformReply& aReply) {
        HandleActions(mMachine.OnPlatformReply(aReply, mStore.Now()));
      });
    }
    for (const OrderResponse& response : aActions.responses) {
      CHECK_TRUE(mResponses.emplace(response.id.value, response).second);
    }
    for (const OrderDispatch& dispatch : aActions.dispatches) {
      ++dispatches;
      HandleActions(
        mMachine.OnBackendReply({ dispatch.id, backend, 201, "t", body }, mStore.Now()));
    }
  }

  platform::VirtualObjectStore& mStore;
  OrderMachine mMachine;
  std::uint64_t mRequests = 0;
};

} // namespace

// Checks invariant I6 (at most one execution for each key) across daemons, and that later requests
// get the recorded outcome.
MASTICSTEP_TEST("a later request gets the recorded outcome at any daemon", "[orders]")
{
  platform::VirtualObjectStore store;
  Daemon first(store, "p1");
  Daemon second(store, "p2");
  first.body = std::string(1000, 'b'); // too long to be stored inline
  CHECK_TRUE(first.Order(kKey).kind == ResponseKind::Executed);
  CHECK_TRUE(first.Machine().IsIdle());
  for (Daemon* daemon : { &first, &second }) {
    const OrderResponse again = daemon->Order(kKey);
    CHECK_TRUE(again.kind == ResponseKind::Executed && again.replayed);
    CHECK_EQUAL(first.body, again.body);
    CHECK_EQUAL(201U, again.httpStatus);
  }
  CHECK_EQUAL(1U, first.dispatches + second.dispatches);
}

// Guards against the response "unknown" for a key whose call is still running or whose outcome is
// not recorded yet.
MASTICSTEP_TEST("a request right after the response waits for the outcome", "[orders]")
{
  platform::VirtualObjectStore store;
  Daemon first(store, "p1");
  Daemon second(store, "p2");
  first.Start(kKey);
  while (first.dispatches == 0) {
    first.RunFor(Milliseconds(1));
  }
  const std::uint64_t same = first.Start(kKey);
  const std::uint64_t other = second.Start(kKey);
  const std::uint64_t different = second.Start(kKey, "y");
  for (int i = 0; i < 100; ++i) {
    first.RunFor(Milliseconds(5));
    second.RunFor(Milliseconds(5));
  }
  CHECK_TRUE(first.mResponses.at(same).replayed);
  CHECK_TRUE(second.mResponses.at(other).replayed);
  CHECK_TRUE(second.mResponses.at(different).reason == ResponseReason::RequestMismatch);
  CHECK_EQUAL(1U, first.dispatches + second.dispatches);
}

// Guards against one key that is accepted for two different calls.
MASTICSTEP_TEST("the same key with another body is refused", "[orders]")
{
  platform::VirtualObjectStore store;
  Daemon daemon(store, "p1");
  daemon.Order(kKey, "x");
  const OrderResponse response = daemon.Order(kKey, "y");
  CHECK_TRUE(response.reason == ResponseReason::RequestMismatch &&
             response.kind == ResponseKind::NotRun);
  CHECK_EQUAL(409U, response.httpStatus);
}

// Checks invariant I5 (a request reported as not run is never executed) during a platform outage:
// requests are refused within the claim timeout and not dispatched.
MASTICSTEP_TEST("orders are refused as not run while the platform is down", "[orders][failure]")
{
  platform::VirtualObjectStore store;
  store.Platform().SetOutage(true);
  Daemon daemon(store, "p1");
  CHECK_TRUE(daemon.Order(kKey).reason == ResponseReason::PlatformUnavailable);
  CHECK_EQUAL(0U, daemon.dispatches);
  store.Platform().SetOutage(false);
  CHECK_TRUE(daemon.Order(kKey).kind == ResponseKind::Executed);
}

// Guards against losing an outcome when the platform fails after the call was executed.
MASTICSTEP_TEST("an outcome is recorded once the platform recovers", "[orders][failure]")
{
  platform::VirtualObjectStore store;
  Daemon daemon(store, "p1");
  daemon.Start(kKey);
  while (daemon.dispatches == 0) {
    daemon.RunFor(Milliseconds(1));
  }
  store.Platform().SetOutage(true);
  daemon.RunFor(Seconds(60));
  CHECK_FALSE(daemon.Machine().IsIdle());
  store.Platform().SetOutage(false);
  daemon.RunFor(Seconds(10));
  CHECK_TRUE(daemon.Machine().IsIdle());
  Daemon other(store, "p2");
  CHECK_TRUE(other.Order(kKey).replayed);
}

// Checks I6 when the reply to the claim is lost: the nonce in the stored record tells whether the
// claim took effect.
MASTICSTEP_TEST("a lost reply to a claim is resolved by reading the object", "[orders][failure]")
{
  platform::VirtualObjectStore store;
  store.Faults().loseAnswers = 1;
  Daemon daemon(store, "p1");
  CHECK_TRUE(daemon.Order(kKey).kind == ResponseKind::Executed);
  CHECK_EQUAL(1U, daemon.dispatches);
}

// Checks I5 when a claim becomes durable after its deadline: it is recorded as not run and is never
// dispatched.
MASTICSTEP_TEST("a claim past its deadline is recorded as not run", "[orders][failure]")
{
  platform::VirtualObjectStore store;
  store.Faults().latency = Milliseconds(200);
  Daemon daemon(store, "p1");
  CHECK_TRUE(daemon.Order(kKey, "x", Milliseconds(100)).reason == ResponseReason::DeadlineExceeded);
  CHECK_EQUAL(0U, daemon.dispatches);
  CHECK_TRUE(daemon.Order(kKey).reason == ResponseReason::ClaimedButNotRun);
}

// Guards against executing a claim without outcome again, and against reporting it as not run.
MASTICSTEP_TEST("a call without outcome stays unknown", "[orders][failure]")
{
  platform::VirtualObjectStore store;
  Daemon daemon(store, "p1");
  daemon.backend = BackendStatus::Unknown;
  CHECK_TRUE(daemon.Order(kKey).reason == ResponseReason::BackendNoResponse);
  Daemon other(store, "p2");
  CHECK_TRUE(other.Order(kKey).kind == ResponseKind::Unknown);
  CHECK_EQUAL(0U, other.dispatches);
}

// Guards against accepting keys outside the period in which their records are retained.
MASTICSTEP_TEST("keys with an invalid date are refused without a platform request", "[orders]")
{
  platform::VirtualObjectStore store;
  Daemon daemon(store, "p1");
  CHECK_EQUAL(410U, daemon.Order("20261202T040000Z-abcdefgh").httpStatus);
  CHECK_EQUAL(400U, daemon.Order("20261204T041100Z-abcdefgh").httpStatus);
  CHECK_EQUAL(400U, daemon.Order("order-17").httpStatus);
  CHECK_EQUAL(0U, store.Platform().Counters().reads + store.Platform().Counters().writes);
}

// Guards against objects above the size limit of the platform, and against refusing claims below
// the specified 2,500 records for each shard.
MASTICSTEP_TEST("a full shard refuses further claims as not run", "[orders]")
{
  platform::VirtualObjectStore store;
  Daemon daemon(store, "p1");
  daemon.body = std::string(180, 'b');
  const std::size_t orders = 20000;
  for (std::size_t i = 0; i < orders; ++i) {
    daemon.Start("20261204T040000Z-" + std::to_string(10000000 + i) + std::string(56, 'k'));
    if (i % 5000 == 4999) {
      daemon.RunFor(Seconds(10)); // stay below maximumConcurrentOrders
    }
  }
  std::size_t full = 0;
  for (const std::pair<const std::uint64_t, OrderResponse>& item : daemon.mResponses) {
    full += item.second.reason == ResponseReason::ShardFull ? 1 : 0;
  }
  CHECK_TRUE(daemon.Machine().IsIdle());
  CHECK_EQUAL(orders, daemon.mResponses.size());
  CHECK_EQUAL(orders, daemon.dispatches + full);
  CHECK_TRUE(full > 0 && daemon.dispatches >= 2500 * kShardsPerBucket);
  for (const platform::InMemoryPlatform::Objects::value_type& item : store.Platform().All()) {
    CHECK_TRUE(item.second.body.size() <= platform::kMaximumObjectBytes);
  }
}
