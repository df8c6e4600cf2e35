#include "PublicationWorld.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::publication;
using masticstep::testing::Explore;
using masticstep::testing::ExplorerReport;

namespace {

WorldOptions Publishing(std::vector<std::string> aServices)
{
  WorldOptions options;
  options.services = std::move(aServices);
  return options;
}

ExplorerReport Run(const std::string& aName, const WorldOptions& aOptions, std::size_t aDepth)
{
  ExplorerReport report = Explore(PublicationWorld(aOptions), { aDepth });
  testing::Print(aName, report);
  return report;
}

void CheckHolds(const std::string& aName, const WorldOptions& aOptions, std::size_t aDepth)
{
  const ExplorerReport report = Run(aName, aOptions, aDepth);
  CPPUNIT_ASSERT_EQUAL(std::string(), report.violation);
  CHECK_TRUE(report.exhausted);
}

} // namespace

// Guards against a half-written configuration and a wrong report after a kill or a lost answer.
MASTICSTEP_TEST("a killed or unlucky publisher leaves a whole configuration",
                "[publication][explorer]")
{
  WorldOptions options = Publishing({ "a", "a" });
  options.losses = 2;
  options.kills = 1;
  CheckHolds("publication, same service", options, 14);
  options.services = { "a", "b" };
  CheckHolds("publication, two services", options, 13);
}

// Guards I9: generations never go back and are applied whole, whatever is late or repeated.
MASTICSTEP_TEST("the generation in force never goes back", "[publication][explorer]")
{
  WorldOptions options = Publishing({ "a", "a" });
  options.sightings = 2;
  CheckHolds("publication, daemon", options, 19);
}

// The explorer is worth nothing if it misses faults that are known to be there.
MASTICSTEP_TEST("the explorer finds each planted fault of publication",
                "[publication][explorer][planted]")
{
  WorldOptions options = Publishing({ "a", "a" });
  options.losses = 1;
  options.publisherFaults.noReadBack = true;
  CHECK_FALSE(Run("planted: publisher without read-back", options, 14).violation.empty());
  options = Publishing({ "a" });
  options.publisherFaults.manifestBeforeContent = true;
  CHECK_FALSE(Run("planted: manifest before content", options, 14).violation.empty());
  options = Publishing({ "a", "a" });
  options.sightings = 2;
  options.trackerFaults.acceptsAnyOtherGeneration = true;
  CHECK_FALSE(Run("planted: generation compared with !=", options, 22).violation.empty());
  options.trackerFaults = {};
  options.trackerFaults.appliesIncomplete = true;
  CHECK_FALSE(Run("planted: generation applied in part", options, 14).violation.empty());
}

// Long runs with many faults; the seed of RapidCheck is fixed by the test main.
MASTICSTEP_TEST("random runs of publishers keep every promise", "[publication][property]")
{
  testing::CheckProperty("publication", [](std::uint64_t aSeed) {
    WorldOptions options = Publishing({ "a", "b", "a" });
    options.losses = 4;
    options.kills = 1;
    options.sightings = 6;
    const ExplorerReport report = testing::Walk(PublicationWorld(options), aSeed, 200);
    RC_ASSERT(report.violation == std::string());
  });
}
