#include "masticstep/orders/Retention.hpp"

#include "masticstep/orders/OrderKey.hpp"
#include "masticstep/orders/ShardObject.hpp"
#include "masticstep/platform/InMemoryPlatform.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::orders;
using namespace masticstep::platform;

namespace {

const ServiceName kService{ "ordering" };
constexpr WallTime kNow{ 1796356800000 };
constexpr std::int64_t kHourMs = 3600 * 1000;

void Put(InMemoryPlatform& aStore, std::int64_t aHoursAgo)
{
  const std::uint64_t bucket = BucketOf({ kNow.milliseconds - aHoursAgo * kHourMs });
  aStore.Apply({ 0, ConditionalWrite{ ObjectOf({ kService, bucket, 1 }), std::nullopt, "x" } });
}

std::uint64_t Run(InMemoryPlatform& aStore, WallTime aNow, std::uint64_t aFailingCall = 0)
{
  Retention run(kService, aNow);
  std::optional<PlatformRequest> request = run.Start();
  while (request) {
    PlatformReply reply = aStore.Apply(*request);
    if (request->number == aFailingCall) {
      reply.status = PlatformStatus::Unknown;
    }
    request = run.OnPlatformReply(reply);
  }
  CHECK_TRUE(run.IsFinished());
  return run.Deleted();
}

} // namespace

// Guards against deleting records whose keys are still accepted, and against never deleting
// records.
MASTICSTEP_TEST("records older than 48 h are deleted below the floor", "[orders][retention]")
{
  InMemoryPlatform store;
  for (const std::int64_t hours : { 0, 24, 47, 49, 60, 100 }) {
    Put(store, hours);
  }
  CHECK_EQUAL(3U, Run(store, kNow));
  const std::uint64_t floor = *ParseFloor(store.Find(FloorObjectOf(kService))->body);
  CHECK_EQUAL(BucketOf(kNow) - Retention::kRetainedBuckets, floor);
  CHECK_EQUAL(4U, store.All().size()); // three buckets and the floor
  // A later run deletes the objects that an earlier one left over.
  Put(store, 60);
  CHECK_EQUAL(0U, Run(store, kNow));
  CHECK_EQUAL(1U, Run(store, { kNow.milliseconds + kHourMs / 4 }));
}

// Guards against a host whose clock is days ahead deleting all records.
MASTICSTEP_TEST("a host with a wrong clock deletes nothing", "[orders][retention]")
{
  InMemoryPlatform store;
  Put(store, 0);
  CHECK_EQUAL(0U, Run(store, { kNow.milliseconds + 72 * kHourMs }));
  CHECK_TRUE(store.Find(FloorObjectOf(kService)) == nullptr);
}

// Guards against deleting objects before the floor is durable, which would allow an old key to be
// executed again.
MASTICSTEP_TEST("nothing is deleted unless the floor is durable", "[orders][retention][failure]")
{
  InMemoryPlatform store;
  Put(store, 0);
  Put(store, 60);
  for (std::uint64_t call = 1; call <= 4; ++call) {
    InMemoryPlatform copy = store;
    CHECK_EQUAL(0U, Run(copy, kNow, call));
    CHECK_TRUE(copy.All().size() >= store.All().size());
  }
}
