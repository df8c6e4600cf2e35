#include "masticstep/authority/LeaseManager.hpp"

#include "masticstep/platform/InMemoryPlatform.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::authority;
using platform::InMemoryPlatform;

namespace {

constexpr Time kStart{ Seconds(100) };
const LeaseOptions kOptions{ LeaseKey(DataCentreName{ "dc" }, "roles"), HostName{ "a" }, "a",
                             Seconds(10), false };

LeaseOptions OptionsOf(const std::string& aProcess, bool aMayHavePredecessor = false)
{
  LeaseOptions options = kOptions;
  options.holder = HostName{ aProcess };
  options.processNonce = aProcess;
  options.mayHavePredecessor = aMayHavePredecessor;
  return options;
}

// Lets the manager act until it makes no further request.
void Run(LeaseManager& aManager, InMemoryPlatform& aStore, Time aNow)
{
  std::optional<platform::PlatformRequest> request = aManager.OnTime(aNow);
  while (request) {
    request = aManager.OnPlatformReply(aStore.Apply(*request), aNow);
  }
}

bool IsHeld(const LeaseManager& aManager, Time aNow)
{
  return IsLeaseValid(aManager.Status(), aNow);
}

} // namespace

// Guards against two holders with the same fencing token when the platform comes back from a copy
// without the lease.
MASTICSTEP_TEST("a lease that the platform has lost remains with its holder",
                "[authority][lease][restored]")
{
  InMemoryPlatform store;
  const InMemoryPlatform copy = store;
  LeaseManager holder(OptionsOf("a"));
  LeaseManager other(OptionsOf("b"));
  Run(holder, store, kStart);
  Run(other, store, kStart);
  const std::uint64_t before = holder.Status().fencing;
  store.RestoreFrom(copy);
  const Time now = kStart + Milliseconds(3400);
  Run(other, store, now);
  CHECK_FALSE(IsHeld(other, now));
  Run(holder, store, now);
  CHECK_TRUE(IsHeld(holder, now + Seconds(8)));
  CHECK_TRUE(holder.Status().fencing > before);
}

// Guards against a successor whose fencing token is not higher than one that the platform has lost.
MASTICSTEP_TEST(
  "a lease that the platform has lost is taken after its duration with a higher token",
  "[authority][lease][restored]")
{
  InMemoryPlatform store;
  const InMemoryPlatform copy = store;
  LeaseManager holder(OptionsOf("a"));
  Run(holder, store, kStart);
  LeaseManager other(OptionsOf("b"));
  Run(other, store, kStart);
  store.RestoreFrom(copy);
  Time now = kStart;
  while (!IsHeld(other, now) && now < kStart + Seconds(30)) {
    now = std::max(now, *other.NextWakeUp());
    Run(other, store, now);
  }
  CHECK_TRUE(now >= kStart + Seconds(10));
  CHECK_TRUE(IsHeld(other, now));
  CHECK_TRUE(other.Status().fencing > holder.Status().fencing);
}

// Guards against a restarted daemon that takes an absent lease while its holder may still act.
MASTICSTEP_TEST("a process that may have a predecessor does not take an absent lease at once",
                "[authority][lease][restored]")
{
  InMemoryPlatform store;
  LeaseManager first(OptionsOf("a"));
  Run(first, store, kStart);
  CHECK_TRUE(IsHeld(first, kStart));
  InMemoryPlatform empty;
  LeaseManager restarted(OptionsOf("b", true));
  Run(restarted, empty, kStart);
  CHECK_FALSE(IsHeld(restarted, kStart));
  Run(restarted, empty, kStart + Seconds(10));
  CHECK_TRUE(IsHeld(restarted, kStart + Seconds(10)));
}

// Guards against two holders whose orders reach an engine shortly after each other at a planned
// stop.
MASTICSTEP_TEST("a released lease is taken only after the pause", "[authority][lease]")
{
  InMemoryPlatform store;
  LeaseOptions options = OptionsOf("a");
  options.pauseAfterRelease = Seconds(3);
  LeaseManager holder(options);
  LeaseManager other(OptionsOf("b"));
  Run(holder, store, kStart);
  Run(other, store, kStart);
  const Time released = kStart + Milliseconds(500);
  holder.OnPlatformReply(store.Apply(*holder.Release(released)), released);
  Run(other, store, kStart + Milliseconds(3400));
  CHECK_FALSE(IsHeld(other, kStart + Milliseconds(3400)));
  Run(other, store, kStart + Milliseconds(6400));
  CHECK_TRUE(IsHeld(other, kStart + Milliseconds(6400)));
}
