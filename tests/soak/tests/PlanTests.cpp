#include "Plan.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::soak;

MASTICSTEP_TEST(
  "a seed always gives the same plan, and all faults end before the fault-free period",
  "[soak][plan]")
{
  testing::CheckProperty(
    "plans are deterministic and leave the end of the run free of faults", [](std::uint64_t aSeed) {
      PlanOptions options;
      options.seed = aSeed;
      const std::vector<PlannedFault> plan = MakePlan(options);
      RC_ASSERT(plan == MakePlan(options));
      RC_ASSERT(!plan.empty());
      for (const PlannedFault& fault : plan) {
        RC_ASSERT(fault.at + fault.span <= options.length - options.faultFreeTail);
      }
    });
}

MASTICSTEP_TEST("skipping a fault does not change the others", "[soak][plan]")
{
  PlanOptions options;
  options.seed = 7;
  std::vector<PlannedFault> plan = MakePlan(options);
  options.without = { 1 };
  const std::vector<PlannedFault> shorter = MakePlan(options);
  plan.erase(plan.begin() + 1);
  CHECK_TRUE(plan == shorter);
}
