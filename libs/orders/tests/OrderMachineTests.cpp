#include "masticstep/orders/OrderMachine.hpp"

#include "masticstep/orders/ShardObject.hpp"
#include "masticstep/platform/VirtualObjectStore.hpp"
#include "masticstep/testing/Test.hpp"

#include <map>

using namespace masticstep;
using namespace masticstep::orders;

namespace {

const std::string kKey = "20261204T040000Z-abcdefgh";
constexpr WallTime kWall{ 1796356801000 };

// One daemon on virtual time; the backend server responses at once.
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
    Take(mMachine.Start({ RequestId{ id }, ServiceName{ "s" }, AccountName{ "a" }, aKey, aDigest,
                          mStore.Now() + aDeadline, kWall },
                        mStore.Now()));
    return id;
  }

  OrderResponse Order(const std::string& aKey, const std::string& aDigest = "x",
                      Duration aDeadline = Seconds(30))
  {
    const std::uint64_t id = Start(aKey, aDigest, aDeadline);
    RunFor(Seconds(40));
    return mAnswers.at(id);
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
      Take(mMachine.OnTime(mStore.Now()));
    }
    mStore.AdvanceTo(end);
  }

  std::string body = "ok";
  BackendStatus backend = BackendStatus::Responded;
  std::uint32_t dispatches = 0;
  std::map<std::uint64_t, OrderResponse> mAnswers;
  OrderMachine& Machine() { return mMachine; }

private:
  void Take(OrderActions aActions)
  {
    for (platform::PlatformRequest& request : aActions.requests) {
      mStore.Submit(std::move(request), [this](const platform::PlatformReply& aReply) {
        Take(mMachine.OnPlatformReply(aReply, mStore.Now()));
      });
    }
    for (const OrderResponse& answer : aActions.responses) {
      CHECK_TRUE(mAnswers.emplace(answer.id.value, answer).second);
    }
    for (const OrderDispatch& dispatch : aActions.dispatches) {
      ++dispatches;
      Take(mMachine.OnBackendReply({ dispatch.id, backend, 201, "t", body }, mStore.Now()));
    }
  }

  platform::VirtualObjectStore& mStore;
  OrderMachine mMachine;
  std::uint64_t mRequests = 0;
};

} // namespace

// Guards I6 across daemons and the promise that the outcome is returned to later requests.
MASTICSTEP_TEST("a later request gets the recorded outcome at any daemon", "[orders]")
{
  platform::VirtualObjectStore store;
  Daemon first(store, "p1");
  Daemon second(store, "p2");
  first.body = std::string(1000, 'b'); // too long for the record
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

// Guards against "unknown" for a key whose answer was just given or whose call still runs.
MASTICSTEP_TEST("a request right after the answer waits for the outcome", "[orders]")
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
  CHECK_TRUE(first.mAnswers.at(same).replayed);
  CHECK_TRUE(second.mAnswers.at(other).replayed);
  CHECK_TRUE(second.mAnswers.at(different).reason == ResponseReason::RequestMismatch);
  CHECK_EQUAL(1U, first.dispatches + second.dispatches);
}

// Guards against one key that stands for two different orders.
MASTICSTEP_TEST("the same key with another body is refused", "[orders]")
{
  platform::VirtualObjectStore store;
  Daemon daemon(store, "p1");
  daemon.Order(kKey, "x");
  const OrderResponse answer = daemon.Order(kKey, "y");
  CHECK_TRUE(answer.reason == ResponseReason::RequestMismatch &&
             answer.kind == ResponseKind::NotRun);
  CHECK_EQUAL(409U, answer.httpStatus);
}

// Guards I5 while the platform is down: a definite refusal within the patience, and no dispatch.
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

// Guards against an outcome that is lost because the platform fails after the call ran.
MASTICSTEP_TEST("an outcome is recorded once the platform is back", "[orders][failure]")
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

// Guards I6 when the answer to the claim is lost: the nonce in the object decides.
MASTICSTEP_TEST("a lost answer to a claim is settled by reading back", "[orders][failure]")
{
  platform::VirtualObjectStore store;
  store.Faults().loseAnswers = 1;
  Daemon daemon(store, "p1");
  CHECK_TRUE(daemon.Order(kKey).kind == ResponseKind::Executed);
  CHECK_EQUAL(1U, daemon.dispatches);
}

// Guards I5 after a pause: a claim whose deadline passed is closed and never runs.
MASTICSTEP_TEST("a claim past its deadline is closed as not run", "[orders][failure]")
{
  platform::VirtualObjectStore store;
  store.Faults().latency = Milliseconds(200);
  Daemon daemon(store, "p1");
  CHECK_TRUE(daemon.Order(kKey, "x", Milliseconds(100)).reason == ResponseReason::DeadlineExceeded);
  CHECK_EQUAL(0U, daemon.dispatches);
  CHECK_TRUE(daemon.Order(kKey).reason == ResponseReason::ClaimedButNotRun);
}

// Guards against a claim without outcome that runs again or is reported as not run.
MASTICSTEP_TEST("a call without outcome answers unknown for good", "[orders][failure]")
{
  platform::VirtualObjectStore store;
  Daemon daemon(store, "p1");
  daemon.backend = BackendStatus::Unknown;
  CHECK_TRUE(daemon.Order(kKey).reason == ResponseReason::BackendNoResponse);
  Daemon other(store, "p2");
  CHECK_TRUE(other.Order(kKey).kind == ResponseKind::Unknown);
  CHECK_EQUAL(0U, other.dispatches);
}

// Guards against keys outside the window in which their records are kept.
MASTICSTEP_TEST("keys out of date are refused without a platform call", "[orders]")
{
  platform::VirtualObjectStore store;
  Daemon daemon(store, "p1");
  CHECK_EQUAL(410U, daemon.Order("20261202T040000Z-abcdefgh").httpStatus);
  CHECK_EQUAL(400U, daemon.Order("20261204T041100Z-abcdefgh").httpStatus);
  CHECK_EQUAL(400U, daemon.Order("order-17").httpStatus);
  CHECK_EQUAL(0U, store.Platform().Counters().reads + store.Platform().Counters().writes);
}

// Guards against an object that outgrows the platform's limit, and against one that refuses claims
// below the stated 2,500 records.
MASTICSTEP_TEST("a full shard refuses further claims as not run", "[orders]")
{
  platform::VirtualObjectStore store;
  Daemon daemon(store, "p1");
  daemon.body = std::string(180, 'b');
  const std::size_t orders = 20000;
  for (std::size_t i = 0; i < orders; ++i) {
    daemon.Start("20261204T040000Z-" + std::to_string(10000000 + i) + std::string(56, 'k'));
    if (i % 5000 == 4999) {
      daemon.RunFor(Seconds(10)); // a daemon holds at most 10,000 orders in progress
    }
  }
  std::size_t full = 0;
  for (const std::pair<const std::uint64_t, OrderResponse>& item : daemon.mAnswers) {
    full += item.second.reason == ResponseReason::ShardFull ? 1 : 0;
  }
  CHECK_TRUE(daemon.Machine().IsIdle());
  CHECK_EQUAL(orders, daemon.mAnswers.size());
  CHECK_EQUAL(orders, daemon.dispatches + full);
  CHECK_TRUE(full > 0 && daemon.dispatches >= 2500 * kShardsPerBucket);
  for (const platform::InMemoryPlatform::Objects::value_type& item : store.Platform().All()) {
    CHECK_TRUE(item.second.body.size() <= platform::kMaximumObjectBytes);
  }
}
