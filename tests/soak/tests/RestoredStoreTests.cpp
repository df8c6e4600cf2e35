// Real daemons whose store comes back from an older copy of itself.
#include "SoakRun.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::soak;

namespace {

// Chooses a copy that is 8 s old.
constexpr std::uint64_t kCopyAge = 6;

FleetOptions RestoredStore(std::vector<PlannedFault> aFaults)
{
  FleetOptions options;
  options.plan.length = Seconds(36);
  options.plan.fixed = std::move(aFaults);
  // More than five of a data centre, so that some follow the store through others.
  options.daemons = 14;
  options.modelEngines = 10;
  return options;
}

} // namespace

// Guards against daemons that take the changes of a restored store for old ones.
MASTICSTEP_TEST("changes after the store came back from an older copy reach all daemons",
                "[soak][restored]")
{
  // The restored store takes some time to assign the revision at which engine 3 left before.
  std::vector<PlannedFault> faults{
    { Milliseconds(6000), {}, FaultKind::ConfigurationStorm, 0 },
    { Milliseconds(8000), {}, FaultKind::ConfigurationStorm, 0 },
    { Milliseconds(11000), {}, FaultKind::EngineLeaves, 3 },
    { Seconds(12), Seconds(2), FaultKind::StoreRestored, kCopyAge },
    { Milliseconds(19000), {}, FaultKind::EngineLeaves, 0 },
    { Milliseconds(19500), {}, FaultKind::MoveRoute, 0 },
    { Milliseconds(20000), {}, FaultKind::EngineLeaves, 7 },
    { Milliseconds(20500), {}, FaultKind::AddRoute, 0 },
    { Milliseconds(21000), {}, FaultKind::EngineLeaves, 10 },
  };
  CHECK_EQUAL(std::string(), PlaySoak(RestoredStore(std::move(faults)), 301));
}
