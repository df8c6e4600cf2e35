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

EngineOrderStateMachine Machine(bool aRefuses)
{
  return EngineOrderStateMachine({ kEngine, aRefuses, "p", Seconds(10), Seconds(1) });
}

// Platform with an outstanding intent of an earlier holder.
InMemoryPlatform WithOutstandingIntent()
{
  InMemoryPlatform store;
  const Intent intent{
    { "old", "set_role", "decode" }, 1, Seconds(10), IntentState::Outstanding, "q-1"
  };
  store.Apply({ 0, ConditionalWrite{ IntentKey(kEngine), std::nullopt, EncodeIntent(intent) } });
  return store;
}

// Starts an order and answers the platform calls until none is made.
EngineOrderActions Start(EngineOrderStateMachine& aMachine, InMemoryPlatform& aStore)
{
  EngineOrderActions actions = aMachine.Start({ "new", "set_role", "prefill" }, kLease, kNow);
  while (actions.request) {
    actions = aMachine.OnPlatformReply(aStore.Apply(*actions.request), kLease, kNow);
  }
  return actions;
}

} // namespace

// Guards against a takeover that sends its own order before the earlier one is settled.
MASTICSTEP_TEST("an outstanding order is repeated with the new fencing number", "[authority]")
{
  InMemoryPlatform store = WithOutstandingIntent();
  EngineOrderStateMachine machine = Machine(true);
  const EngineOrderActions actions = Start(machine, store);
  CHECK_EQUAL(std::string("old"), actions.send->order.id);
  CHECK_EQUAL(2U, actions.send->fencing);
}

// Guards against settings that count only for engines that were not known before.
MASTICSTEP_TEST("only an engine that ignores fencing numbers is waited for", "[authority]")
{
  for (const bool refuses : { false, true }) {
    InMemoryPlatform store = WithOutstandingIntent();
    EngineOrderStateMachine machine = Machine(!refuses);
    machine.SetRefusesOldFencing(refuses);
    CHECK_EQUAL(refuses, Start(machine, store).send.has_value());
    CHECK_EQUAL(!refuses, machine.NextWakeUp() == kNow + Seconds(10));
  }
}

// Guards against a damaged object that is taken for a free lease or a settled intent.
MASTICSTEP_TEST("damaged leases and intents are not read", "[authority]")
{
  for (const char* text : { "", "{}", R"({"fencing": 1})", R"({"order": {}, "state": "done"})" }) {
    CHECK_FALSE(ParseLease(text).has_value());
    CHECK_FALSE(ParseIntent(text).has_value());
  }
  const Lease lease{ HostName{ "h" }, "n-1", 7, Seconds(10) };
  CHECK_TRUE(ParseLease(EncodeLease(lease)) == lease);
}
