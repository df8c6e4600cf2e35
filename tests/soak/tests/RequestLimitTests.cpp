// Real daemons before engines that name the number of requests that they take.
#include "SoakRun.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::soak;

namespace {

FleetOptions LimitedEngines()
{
  FleetOptions options;
  options.plan.length = Seconds(34);
  options.plan.fixed = std::vector<PlannedFault>{};
  options.modelEngines = 10;
  options.limitedEngines = 2;
  return options;
}

} // namespace

// Guards against daemons that together send an engine more requests than it has asked for.
MASTICSTEP_TEST("engines get no more requests than the limit that they name", "[soak][limit]")
{
  CHECK_EQUAL(std::string(), PlaySoak(LimitedEngines(), 211));
}
