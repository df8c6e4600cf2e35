#include "masticstep/platform/VirtualObjectStore.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::platform;

namespace {

const ObjectKey kKey{ "a" };

PlatformRequest Create()
{
  return { 7, ConditionalWrite{ kKey, std::nullopt, "x" } };
}

} // namespace

// Guards against a fake that drops the write together with its reply, which would hide faults in
// how callers read back the object.
MASTICSTEP_TEST("a write whose reply is lost stays applied", "[platform][failure]")
{
  VirtualObjectStore store;
  store.Faults().loseAnswers = 1;
  std::optional<PlatformReply> reply;
  store.Submit(Create(), [&reply](PlatformReply aReply) { reply = std::move(aReply); });
  store.AdvanceTo(Time{ Milliseconds(10) });
  CHECK_TRUE(!reply);
  CHECK_TRUE(store.Platform().Find(kKey) != nullptr);
  store.AdvanceTo(Time{ Seconds(2) });
  CHECK_TRUE(reply && reply->status == PlatformStatus::Unknown && reply->number == 7U);
}

// Guards against replies that arrive early or never.
MASTICSTEP_TEST("a reply arrives after the latency", "[platform]")
{
  VirtualObjectStore store;
  std::optional<Time> arrived;
  store.Submit(Create(), [&](const PlatformReply&) { arrived = store.Now(); });
  while (const std::optional<Time> next = store.NextWakeUp()) {
    store.AdvanceTo(*next);
  }
  CHECK_TRUE(arrived == Time{ Milliseconds(5) });
}
