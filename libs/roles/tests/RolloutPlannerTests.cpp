#include "masticstep/roles/RolloutPlanner.hpp"
#include "masticstep/testing/Test.hpp"

#include <set>
#include <string>

using namespace masticstep;
using namespace masticstep::roles;

// Guards against a rollout that leaves a model without a ready engine or that starts loads faster
// than the weight store can serve them.
MASTICSTEP_TEST("a rollout keeps one engine ready and limits loads to the weight store's rate",
                "[roles][rollout]")
{
  masticstep::testing::CheckProperty("rollouts", [] {
    RolloutOptions options;
    options.targetVersion = "2";
    options.weightBytes = 10e9;
    options.maximumShare = *rc::gen::inRange(0, 101) / 100.0;
    RolloutPlanner planner(options);
    const int engines = *rc::gen::inRange(1, 9);
    for (int i = 0; i < engines; ++i) {
      planner.OnEngineStatus(EngineId("e" + std::to_string(i)), "1", true, 2);
    }
    std::set<EngineId> draining;
    Time lastLoad{ Seconds(-1000) };
    for (int second = 0; second < 400 && !planner.IsDone(); ++second) {
      const Time now{ Seconds(second) };
      for (const RolloutAction& action : planner.Plan(now)) {
        if (action.kind == RolloutActionKind::Drain) {
          draining.insert(action.engine);
          continue;
        }
        RC_ASSERT(draining.erase(action.engine) == 1);
        // weightBytes at the default rate of 1e9 bytes per second.
        RC_ASSERT(now - lastLoad >= Seconds(10));
        lastLoad = now;
        planner.OnLoaded(action.engine, "2");
      }
      RC_ASSERT(planner.ReadyCount() >= 1);
      for (const EngineId& engine : draining) {
        planner.OnEngineStatus(engine, "1", false, second % 3 == 0 ? 0 : 1);
      }
    }
    RC_ASSERT(planner.IsDone() == (engines > 1));
    RC_ASSERT(planner.IsBlocked() == (engines == 1));
  });
}
