#include "masticstep/authority/EngineOrderStateMachine.hpp"

#include "masticstep/platform/InMemoryPlatform.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::authority;
using namespace masticstep::platform;

namespace {

const EngineId kEngine{ "e" };
const LeaseStatus kLease{ 2, Time{ Seconds(100) } };
constexpr Time kNow{ Seconds(1) };

EngineOrderStateMachine MakeStateMachine(bool aRefuses)
{
  return EngineOrderStateMachine({ kEngine, aRefuses, "p", Seconds(10), Seconds(1) });
}

// Returns a platform with an outstanding intent of an earlier holder.
InMemoryPlatform MakeStoreWithOutstandingIntent()
{
  InMemoryPlatform store;
  const Intent intent{
    { "old", "set_role", "decode" }, 1, Seconds(10), IntentState::Outstanding, "q-1"
  };
  store.Apply({ 0, ConditionalWrite{ IntentKey(kEngine), std::nullopt, EncodeIntent(intent) } });
  return store;
}

// Starts an order and replies to platform requests until the state machine makes no further one.
EngineOrderActions StartOrder(EngineOrderStateMachine& aStateMachine, InMemoryPlatform& aStore)
{
  EngineOrderActions actions = aStateMachine.Start({ "new", "set_role", "prefill" }, kLease, kNow);
  while (actions.request) {
    actions = aStateMachine.OnPlatformReply(aStore.Apply(*actions.request), kLease, kNow);
  }
  return actions;
}

} // namespace

// Guards against a new holder that sends its own order while an earlier one is outstanding.
MASTICSTEP_TEST("an outstanding order is repeated with the new fencing token", "[authority]")
{
  InMemoryPlatform store = MakeStoreWithOutstandingIntent();
  EngineOrderStateMachine stateMachine = MakeStateMachine(true);
  const EngineOrderActions actions = StartOrder(stateMachine, store);
  CHECK_EQUAL(std::string("old"), actions.send->order.id);
  CHECK_EQUAL(2U, actions.send->fencing);
}

// Guards against a change of settings that has no effect on a known engine.
MASTICSTEP_TEST("only an engine that ignores fencing tokens is waited for", "[authority]")
{
  for (const bool refuses : { false, true }) {
    InMemoryPlatform store = MakeStoreWithOutstandingIntent();
    EngineOrderStateMachine stateMachine = MakeStateMachine(!refuses);
    stateMachine.SetRefusesOldFencing(refuses);
    CHECK_EQUAL(refuses, StartOrder(stateMachine, store).send.has_value());
    CHECK_EQUAL(!refuses, stateMachine.NextWakeUp() == kNow + Seconds(10));
  }
}

// Guards against a damaged object that is read as a free lease or a completed intent.
MASTICSTEP_TEST("damaged leases and intents are not read", "[authority]")
{
  for (const char* text : { "", "{}", R"({"fencing": 1})", R"({"order": {}, "state": "done"})" }) {
    CHECK_FALSE(ParseLease(text).has_value());
    CHECK_FALSE(ParseIntent(text).has_value());
  }
  const Lease lease{ HostName{ "h" }, "n-1", 7, Seconds(10) };
  CHECK_TRUE(ParseLease(EncodeLease(lease)) == lease);
}

// Guards against taking back later orders, whose intents the platform has lost, by repeating an
// earlier one.
MASTICSTEP_TEST("an outstanding order from before a restore of the platform is not repeated",
                "[authority][restored]")
{
  InMemoryPlatform store = MakeStoreWithOutstandingIntent();
  const InMemoryPlatform copy = store;
  store.RestoreFrom(copy);
  const LeaseStatus lease{ FencingBeforeEra(store.Era()) + 1, Time{ Seconds(100) } };
  for (const bool refuses : { true, false }) {
    EngineOrderStateMachine stateMachine = MakeStateMachine(refuses);
    EngineOrderActions actions = stateMachine.Start({ "new", "set_role", "prefill" }, lease, kNow);
    InMemoryPlatform platform = store;
    Time now = kNow;
    while (!actions.send && now < kNow + Seconds(30)) {
      now = actions.request ? now : *stateMachine.NextWakeUp();
      actions = actions.request
                  ? stateMachine.OnPlatformReply(platform.Apply(*actions.request), lease, now)
                  : stateMachine.OnTime(lease, now);
    }
    CHECK_EQUAL(std::string("new"), actions.send->order.id);
    // Copies of the earlier order may reach an engine that does not check fencing tokens.
    CHECK_EQUAL(refuses ? kNow : kNow + Seconds(10), now);
  }
}
