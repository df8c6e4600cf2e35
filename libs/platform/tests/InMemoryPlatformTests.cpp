#include "masticstep/platform/InMemoryPlatform.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::platform;

namespace {

const ObjectKey kKey{ "a/b" };

PlatformReply Write(InMemoryPlatform& aPlatform, std::optional<Version> aExpected,
                    const std::string& aBody)
{
  return aPlatform.Apply({ 1, ConditionalWrite{ kKey, aExpected, aBody } });
}

} // namespace

// Guards against a fake in which two conditional updates of the same version succeed.
MASTICSTEP_TEST("a conditional update of a replaced version conflicts", "[platform]")
{
  InMemoryPlatform store;
  const PlatformReply created = Write(store, std::nullopt, "1");
  CHECK_TRUE(created.status == PlatformStatus::Done);
  CHECK_TRUE(Write(store, std::nullopt, "2").status == PlatformStatus::Conflict);
  CHECK_TRUE(Write(store, created.version, "3").status == PlatformStatus::Done);
  CHECK_TRUE(Write(store, created.version, "4").status == PlatformStatus::Conflict);
  CHECK_EQUAL(std::string("3"), store.Find(kKey)->body);
}

// Guards against version reuse, which would let a delayed write to a recreated object succeed.
MASTICSTEP_TEST("a recreated object gets a new version", "[platform]")
{
  InMemoryPlatform store;
  const Version first = *Write(store, std::nullopt, "1").version;
  CHECK_TRUE(store.Apply({ 2, ConditionalDelete{ kKey, first } }).status == PlatformStatus::Done);
  const PlatformReply changes = store.Apply({ 3, WatchRequest{ "a/", first.value, Duration{} } });
  CHECK_EQUAL(1U, changes.items.size());
  CHECK_TRUE(changes.items.front().deleted);
  const Version second = *Write(store, std::nullopt, "2").version;
  CHECK_TRUE(first < second);
  CHECK_TRUE(Write(store, first, "3").status == PlatformStatus::Conflict);
}

// Guards against writes that are refused, because of an outage or an oversized body, but applied.
MASTICSTEP_TEST("refused writes change nothing", "[platform]")
{
  InMemoryPlatform store;
  CHECK_TRUE(Write(store, std::nullopt, std::string(kMaximumObjectBytes + 1, 'x')).status ==
             PlatformStatus::TooLarge);
  store.SetOutage(true);
  CHECK_TRUE(Write(store, std::nullopt, "1").status == PlatformStatus::Refused);
  store.SetOutage(false);
  CHECK_TRUE(store.All().empty());
  CHECK_EQUAL(2U, store.Counters().writes);
}
