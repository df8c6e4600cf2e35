// Real daemons whose callers send a prompt part, or a request, that crashes engines.
#include "SoakRun.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::soak;

namespace {

FleetOptions CrashingPrompts(std::vector<PlannedFault> aFaults)
{
  FleetOptions options;
  options.plan.length = Seconds(30);
  options.plan.fixed = std::move(aFaults);
  options.modelEngines = 10;
  options.crashingPart = "dead5";
  options.crashingPartPercent = 12;
  return options;
}

FleetOptions CrashingRequests(std::vector<PlannedFault> aFaults)
{
  FleetOptions options;
  options.plan.length = Seconds(30);
  options.plan.fixed = std::move(aFaults);
  options.modelEngines = 10;
  options.plainEngines = 5;
  options.crashingRequestPercent = 8;
  return options;
}

} // namespace

// Guards against requests of one kind that crash one engine after the other.
MASTICSTEP_TEST("daemons stop sending a prompt part that crashes engines", "[soak][prompt]")
{
  CHECK_EQUAL(std::string(), PlaySoak(CrashingPrompts({}), 211));
}

// Guards against daemons that forget after a restart which prompt part crashes engines.
MASTICSTEP_TEST("restarted daemons do not send a prompt part that crashed engines",
                "[soak][prompt]")
{
  const PlannedFault killAll{ Seconds(11), Duration::zero(), FaultKind::KillAllDaemons, 0 };
  CHECK_EQUAL(std::string(), PlaySoak(CrashingPrompts({ killAll }), 211));
}

// Guards against a lookup and a resumable stream that end one engine after the other as they come
// again, and against the repeats that follow for all that ran beside them.
MASTICSTEP_TEST("daemons stop sending requests that crash engines", "[soak][request]")
{
  CHECK_EQUAL(std::string(), PlaySoak(CrashingRequests({}), 212));
}

// Guards against daemons that forget after a restart which requests crash engines.
MASTICSTEP_TEST("restarted daemons do not send requests that crashed engines", "[soak][request]")
{
  const PlannedFault killAll{ Seconds(11), Duration::zero(), FaultKind::KillAllDaemons, 0 };
  CHECK_EQUAL(std::string(), PlaySoak(CrashingRequests({ killAll }), 212));
}
