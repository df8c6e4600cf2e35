// A short run of the whole system with a fixed seed. seeds.txt lists the seeds that failed in the
// past.
#include "SoakRun.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::soak;

MASTICSTEP_TEST("a seeded run of daemons under faults violates no guarantee", "[soak][run]")
{
  FleetOptions options;
  options.plan.length = Seconds(28);
  CHECK_EQUAL(std::string(), PlaySoak(std::move(options), 115));
}
