#include "PublicationModel.hpp"

#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::publication;
using masticstep::testing::Explore;
using masticstep::testing::ExplorerReport;

namespace {

ModelOptions MakeOptions(std::vector<std::string> aServices)
{
  ModelOptions options;
  options.services = std::move(aServices);
  return options;
}

ExplorerReport RunExplorer(const std::string& aName, const ModelOptions& aOptions,
                           std::size_t aDepth)
{
  ExplorerReport report = Explore(PublicationModel(aOptions), { aDepth });
  testing::Print(aName, report);
  return report;
}

void CheckHolds(const std::string& aName, const ModelOptions& aOptions, std::size_t aDepth)
{
  const ExplorerReport report = RunExplorer(aName, aOptions, aDepth);
  CPPUNIT_ASSERT_EQUAL(std::string(), report.violation);
  CHECK_TRUE(report.exhausted);
}

} // namespace

// Guards against a partly written configuration and a wrong outcome after a publisher was killed or
// a platform request or reply was lost.
MASTICSTEP_TEST("the published configuration stays complete despite kills and lost replies",
                "[publication][explorer]")
{
  ModelOptions options = MakeOptions({ "a", "a" });
  options.losses = 2;
  options.kills = 1;
  CheckHolds("publication, same service", options, 14);
  options.services = { "a", "b" };
  CheckHolds("publication, two services", options, 13);
}

// Guards invariant I9: the generation in force never decreases and is applied only when complete,
// even if manifests and contents arrive late or more than once.
MASTICSTEP_TEST("the generation in force never decreases", "[publication][explorer]")
{
  ModelOptions options = MakeOptions({ "a", "a" });
  options.manifestReads = 2;
  CheckHolds("publication, daemon", options, 19);
}

// Guards against an explorer that misses violations: each planted protocol fault must be found.
MASTICSTEP_TEST("the explorer finds each planted fault of publication",
                "[publication][explorer][planted]")
{
  ModelOptions options = MakeOptions({ "a", "a" });
  options.losses = 1;
  options.publisherFaults.skipsReadBack = true;
  CHECK_FALSE(RunExplorer("planted: publisher without read-back", options, 14).violation.empty());
  options = MakeOptions({ "a" });
  options.publisherFaults.writesManifestFirst = true;
  CHECK_FALSE(RunExplorer("planted: manifest before content", options, 14).violation.empty());
  options = MakeOptions({ "a", "a" });
  options.manifestReads = 2;
  options.trackerFaults.acceptsAnyOtherGeneration = true;
  CHECK_FALSE(RunExplorer("planted: generation compared with !=", options, 22).violation.empty());
  options.trackerFaults = {};
  options.trackerFaults.appliesIncompleteGeneration = true;
  CHECK_FALSE(RunExplorer("planted: generation applied in part", options, 14).violation.empty());
}

// Covers longer event sequences with more faults than the explorer can. The test main fixes the
// seed of RapidCheck.
MASTICSTEP_TEST("random publish runs violate no invariant", "[publication][property]")
{
  testing::CheckProperty("publication", [](std::uint64_t aSeed) {
    ModelOptions options = MakeOptions({ "a", "b", "a" });
    options.losses = 4;
    options.kills = 1;
    options.manifestReads = 6;
    const ExplorerReport report = testing::Walk(PublicationModel(options), aSeed, 200);
    RC_ASSERT(report.violation == std::string());
  });
}
