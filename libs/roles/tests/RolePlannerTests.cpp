#include "masticstep/roles/RolePlanner.hpp"
#include "masticstep/testing/Test.hpp"

#include <set>
#include <string>

using namespace masticstep;
using namespace masticstep::roles;

namespace {

Time At(std::int64_t aSeconds)
{
  return Time{ Seconds(aSeconds) };
}

// Returns a planner with two prefill engines and four decode engines.
RolePlanner MakePlanner(const RolePolicy& aPolicy)
{
  RolePlanner planner(aPolicy);
  for (int i = 0; i < 6; ++i) {
    planner.OnEngineStatus(
      { EngineId("e" + std::to_string(i)), i < 2 ? Role::Prefill : Role::Decode, true, 3 }, At(0));
  }
  return planner;
}

} // namespace

// Guards against changing the role of an engine that still runs streams (invariant I2).
MASTICSTEP_TEST("an engine is drained before its role changes", "[roles][drain]")
{
  RolePlanner planner = MakePlanner(RolePolicy{});
  std::vector<RoleAction> actions;
  int second = 0;
  for (; second < 100 && actions.empty(); ++second) {
    planner.OnWorkload({ 4.0, 1.0 }, At(second));
    actions = planner.Plan(At(second));
  }
  CHECK_EQUAL(1U, actions.size());
  CHECK_TRUE(actions[0].kind == RoleActionKind::Drain);
  CHECK_TRUE(actions[0].role == Role::Prefill);
  // A report from before the drain must not make the engine count as idle.
  planner.OnEngineStatus({ actions[0].engine, Role::Decode, true, 0 }, At(second - 2));
  CHECK_TRUE(planner.Plan(At(second)).empty());
  planner.OnEngineStatus({ actions[0].engine, Role::Decode, true, 0 }, At(second + 1));
  const std::vector<RoleAction> orders = planner.Plan(At(second + 1));
  CHECK_EQUAL(1U, orders.size());
  CHECK_TRUE(orders[0].kind == RoleActionKind::SetRole);
}

// Guards against a change whose gain is smaller than its cost.
MASTICSTEP_TEST("a higher change cost suppresses changes", "[roles][cost]")
{
  RolePolicy policy;
  policy.changeCost = 500.0;
  RolePlanner planner = MakePlanner(policy);
  for (int second = 0; second < 200; ++second) {
    planner.OnWorkload({ 4.0, 1.0 }, At(second));
    CHECK_TRUE(planner.Plan(At(second)).empty());
  }
}

// Guards against draining engines while failed ones already use up the limit.
MASTICSTEP_TEST("no change starts while the share that may be out has failed", "[roles][failure]")
{
  RolePlanner planner = MakePlanner(RolePolicy{});
  planner.OnEngineStatus({ EngineId("e5"), Role::Decode, false, 0 }, At(0));
  for (int second = 0; second < 100; ++second) {
    planner.OnWorkload({ 4.0, 1.0 }, At(second));
    CHECK_TRUE(planner.Plan(At(second)).empty());
  }
  planner.OnEngineStatus({ EngineId("e5"), Role::Decode, true, 0 }, At(100));
  planner.OnWorkload({ 4.0, 1.0 }, At(100));
  CHECK_TRUE(planner.Plan(At(100)).empty());
  planner.OnWorkload({ 4.0, 1.0 }, At(105));
  CHECK_EQUAL(1U, planner.Plan(At(105)).size());
}

// Guards against engines that change too often, or too many at once, under any workload.
MASTICSTEP_TEST("interval and share of changing engines hold for any mix", "[roles][property]")
{
  masticstep::testing::CheckProperty("role limits", [] {
    RolePolicy policy;
    policy.changeCost = 0.0;
    policy.maximumShare = 0.4;
    RolePlanner planner = MakePlanner(policy);
    std::map<EngineId, Time> changed;
    std::set<EngineId> drained;
    const std::vector<std::uint8_t> samples =
      *rc::gen::container<std::vector<std::uint8_t>>(150, rc::gen::arbitrary<std::uint8_t>());
    int second = 0;
    for (const std::uint8_t sample : samples) {
      second += 2;
      planner.OnWorkload({ (sample & 15U) / 3.0, (sample >> 4U) / 3.0 }, At(second));
      for (const RoleAction& action : planner.Plan(At(second))) {
        if (action.kind == RoleActionKind::Drain) {
          const auto last = changed.find(action.engine);
          // RapidCheck evaluates both sides of a captured ||, so the condition is computed first.
          const bool hasWaited =
            last == changed.end() || At(second) - last->second >= policy.minimumInterval;
          RC_ASSERT(hasWaited);
          RC_ASSERT(drained.insert(action.engine).second);
        } else {
          RC_ASSERT(drained.erase(action.engine) == 1);
          planner.OnRoleChanged(action.engine, action.role, At(second));
          changed[action.engine] = At(second);
        }
      }
      RC_ASSERT(drained.size() <= 2);
      for (const EngineId& engine : drained) {
        planner.OnEngineStatus({ engine, Role::Decode, true, sample & 1U }, At(second + 1));
      }
    }
  });
}
