#include "masticstep/dispatch/StagePlan.hpp"

#include "masticstep/testing/Test.hpp"

#include <set>

using namespace masticstep;
using namespace masticstep::dispatch;

namespace {

const ServiceName kService{ "s" };

std::map<BackendServerName, Backend> MakeEngines(int aPrefill, int aDecode)
{
  std::map<BackendServerName, Backend> engines;
  for (int i = 0; i < aPrefill + aDecode; ++i) {
    Backend engine;
    engine.id = BackendServerName{ "e-" + std::to_string(i) };
    engine.service = kService;
    engine.dataCentre = DataCentreName{ "d" };
    engine.stage = i < aPrefill ? Stage::Prefill : Stage::Decode;
    engines[engine.id] = engine;
  }
  return engines;
}

StagePolicy MakePolicy(double aShare, double aMaximumChangeShare = 1.0)
{
  StagePolicy policy;
  policy.decodeShare = aShare;
  policy.maximumChangeShare = aMaximumChangeShare;
  return policy;
}

const SoftwareVersion kOldVersion{ "v1" };
const SoftwareVersion kNewVersion{ "v2" };

using Engines = std::map<BackendServerName, Backend>;

void AddEngine(Engines& aEngines, const std::string& aId, const SoftwareVersion& aVersion,
               Stage aStage, const std::string& aDataCentre = "d")
{
  Backend engine;
  engine.id = BackendServerName{ aId };
  engine.service = kService;
  engine.dataCentre = DataCentreName{ aDataCentre };
  engine.stage = aStage;
  engine.softwareVersion = aVersion;
  aEngines[engine.id] = engine;
}

// Four engines of one version for prefill, and two of the next version that decode.
Engines MakeReleaseWithoutOldWriter()
{
  Engines engines;
  for (const char* id : { "a", "b", "c", "d" }) {
    AddEngine(engines, id, kOldVersion, Stage::Prefill);
  }
  AddEngine(engines, "e", kNewVersion, Stage::Decode);
  AddEngine(engines, "f", kNewVersion, Stage::Decode);
  return engines;
}

void Apply(Engines& aEngines, const std::vector<StageChange>& aChanges)
{
  for (const StageChange& change : aChanges) {
    aEngines.at(change.engine).stage = change.stage;
  }
}

// Counts the decode engines of each software version that has engines to plan.
std::map<SoftwareVersion, std::size_t> CountWriters(const Engines& aEngines)
{
  std::map<SoftwareVersion, std::size_t> writers;
  for (const auto& [id, engine] : aEngines) {
    if (!engine.isDraining) {
      writers[engine.softwareVersion] += engine.stage == Stage::Decode ? 1 : 0;
    }
  }
  return writers;
}

// Counts the engines that decode in both fleets: they write during all changes between them.
std::map<SoftwareVersion, std::size_t> CountLastingWriters(const Engines& aBefore,
                                                           const Engines& aAfter)
{
  Engines lasting = aBefore;
  for (auto& [id, engine] : lasting) {
    engine.stage = aAfter.at(id).stage == Stage::Decode ? engine.stage : Stage::Prefill;
  }
  return CountWriters(lasting);
}

Engines DrawEngines()
{
  Engines engines;
  const int count = *rc::gen::inRange(1, 25);
  const int dataCentres = *rc::gen::inRange(1, 4);
  const int versions = *rc::gen::inRange(1, 4);
  for (int i = 0; i < count; ++i) {
    const std::string id = "e-" + std::to_string(i);
    const Stage stage = *rc::gen::element(Stage::Prefill, Stage::Decode);
    const SoftwareVersion version{ "v" + std::to_string(*rc::gen::inRange(0, versions)) };
    const std::string dataCentre = "d" + std::to_string(*rc::gen::inRange(0, dataCentres));
    AddEngine(engines, id, version, stage, dataCentre);
    engines.at(BackendServerName{ id }).isDraining = *rc::gen::inRange(0, 8) == 0;
  }
  return engines;
}

} // namespace

MASTICSTEP_TEST("engines change stage until the share is reached", "[dispatch][stages]")
{
  const std::vector<StageChange> changes =
    PlanStages(MakeEngines(2, 4), kService, MakePolicy(0.33));
  CHECK_EQUAL(std::size_t{ 2 }, changes.size());
  CHECK_TRUE(changes[0].stage == Stage::Prefill);
  CHECK_TRUE(PlanStages(MakeEngines(4, 2), kService, MakePolicy(0.33)).empty());
}

MASTICSTEP_TEST("the limit on changes holds and other services are unaffected",
                "[dispatch][stages]")
{
  CHECK_EQUAL(std::size_t{ 1 },
              PlanStages(MakeEngines(1, 9), kService, MakePolicy(0.3, 0.1)).size());
  CHECK_TRUE(PlanStages(MakeEngines(1, 9), ServiceName{ "t" }, MakePolicy(0.3)).empty());
}

// Guards against a data centre without any engine for decoding or for prefill.
MASTICSTEP_TEST("each data centre keeps engines of both stages", "[dispatch][stages][failure]")
{
  const std::vector<StageChange> withoutDecode =
    PlanStages(MakeEngines(3, 0), kService, MakePolicy(0.0));
  CHECK_EQUAL(std::size_t{ 1 }, withoutDecode.size());
  CHECK_TRUE(withoutDecode[0].stage == Stage::Decode);
  CHECK_TRUE(PlanStages(MakeEngines(1, 1), kService, MakePolicy(1.0)).empty());
}

// Guards against a service that answers nothing: an engine for prefill alone cannot write, an
// engine for decoding alone reads prompts too.
MASTICSTEP_TEST("the only engine of a service writes answers", "[dispatch][stages][failure]")
{
  const std::vector<StageChange> expected{ { BackendServerName{ "e-0" }, Stage::Decode } };
  CHECK_TRUE(expected == PlanStages(MakeEngines(1, 0), kService, MakePolicy(0.4)));
}

// Guards against streams that no engine can go on with: a release replaced all engines of a version
// that wrote answers, and those of the next version met the share of the data centre.
MASTICSTEP_TEST("a version without a decode engine gets one beside those of other versions",
                "[dispatch][stages][failure]")
{
  Engines engines = MakeReleaseWithoutOldWriter();
  Apply(engines, PlanStages(engines, kService, MakePolicy(0.33, 0.1)));
  CHECK_TRUE(CountWriters(engines).at(kOldVersion) >= 1);
  CHECK_TRUE(CountWriters(engines).at(kNewVersion) >= 1);
}

// Guards against a version whose streams have no engine for seconds after the only one that wrote
// drains or crashes.
MASTICSTEP_TEST("a version with several engines has three for decoding beside other versions",
                "[dispatch][stages][failure]")
{
  Engines engines = MakeReleaseWithoutOldWriter();
  engines.at(BackendServerName{ "a" }).stage = Stage::Decode;
  Apply(engines, PlanStages(engines, kService, MakePolicy(0.33)));
  CHECK_EQUAL(std::size_t{ 3 }, CountWriters(engines).at(kOldVersion));
}

// Guards against streams that nobody can go on with after several engines crash at once, or a whole
// data centre does: those that are left of the version only read prompts.
MASTICSTEP_TEST("a version beside others has engines for decoding to spare, over data centres",
                "[dispatch][stages][failure]")
{
  struct Case
  {
    std::size_t engines;
    std::size_t writers;
    std::size_t dataCentres;
  };
  for (const Case& item : { Case{ 1, 1, 1 }, Case{ 2, 1, 1 }, Case{ 3, 2, 2 }, Case{ 4, 3, 3 },
                            Case{ 5, 3, 3 }, Case{ 9, 3, 3 } }) {
    Engines engines;
    for (std::size_t i = 0; i < item.engines; ++i) {
      const std::string dataCentre = "d" + std::to_string(i % 3);
      AddEngine(engines, "new-" + std::to_string(i), kNewVersion, Stage::Prefill, dataCentre);
      AddEngine(engines, "old-" + std::to_string(i), kOldVersion, Stage::Decode, dataCentre);
    }
    Apply(engines, PlanStages(engines, kService, MakePolicy(0.0, 0.1)));
    CHECK_EQUAL(item.writers, CountWriters(engines).at(kNewVersion));
    std::set<DataCentreName> withWriter;
    for (const auto& [id, engine] : engines) {
      if (engine.softwareVersion == kNewVersion && engine.stage == Stage::Decode) {
        withWriter.insert(engine.dataCentre);
      }
    }
    CHECK_EQUAL(item.dataCentres, withWriter.size());
  }
}

// Guards against a version that loses its engines for decoding to another one that joins, as on a
// day of a release beside crashes: two of the three crashed while the third changed stage.
MASTICSTEP_TEST("a version that joins leaves the other one engines for decoding to spare",
                "[dispatch][stages][failure]")
{
  Engines engines;
  for (const char* dataCentre : { "d1", "d2", "d3" }) {
    const std::string suffix(dataCentre);
    AddEngine(engines, "old-" + suffix, kOldVersion, Stage::Decode, dataCentre);
    AddEngine(engines, "new-a-" + suffix, kNewVersion, Stage::Decode, dataCentre);
    AddEngine(engines, "new-b-" + suffix, kNewVersion, Stage::Decode, dataCentre);
    AddEngine(engines, "new-c-" + suffix, kNewVersion, Stage::Prefill, dataCentre);
  }
  const Engines before = engines;
  Apply(engines, PlanStages(engines, kService, MakePolicy(0.4)));
  CHECK_EQUAL(std::size_t{ 2 }, CountLastingWriters(before, engines).at(kOldVersion));
  CHECK_EQUAL(std::size_t{ 4 }, CountLastingWriters(before, engines).at(kNewVersion));
}

// Guards against a data centre that meets its share by taking the last decode engine of a version.
MASTICSTEP_TEST("the last decode engine of a version does not change stage",
                "[dispatch][stages][failure]")
{
  Engines engines;
  AddEngine(engines, "a", kOldVersion, Stage::Decode, "d1");
  AddEngine(engines, "b", kNewVersion, Stage::Decode, "d1");
  AddEngine(engines, "c", kOldVersion, Stage::Prefill, "d2");
  AddEngine(engines, "d", kNewVersion, Stage::Decode, "d2");
  AddEngine(engines, "e", kNewVersion, Stage::Prefill, "d2");
  AddEngine(engines, "f", kNewVersion, Stage::Decode, "d1");
  AddEngine(engines, "g", kNewVersion, Stage::Decode, "d2");
  const std::vector<StageChange> expected{ { BackendServerName{ "b" }, Stage::Prefill } };
  CHECK_TRUE(expected == PlanStages(engines, kService, MakePolicy(0.3)));
}

// Guards against plans that leave a version without a decode engine, also while the changes are
// under way, and against engines that change stage forth and back.
MASTICSTEP_TEST("every plan leaves each version an engine for decoding, and plans settle",
                "[dispatch][stages][property]")
{
  testing::CheckProperty("every version keeps a writer", [] {
    Engines engines = DrawEngines();
    const double share = *rc::gen::inRange(0, 11) / 10.0;
    const double limit = *rc::gen::element(0.1, 1.0);
    const std::size_t count = engines.size();
    std::map<BackendServerName, std::size_t> changesOf;
    for (std::size_t round = 0; round <= count; ++round) {
      const Engines before = engines;
      const std::vector<StageChange> changes =
        PlanStages(engines, kService, MakePolicy(share, limit));
      Apply(engines, changes);
      for (const StageChange& change : changes) {
        const bool isFirst = ++changesOf[change.engine] == 1;
        RC_ASSERT(isFirst);
        RC_ASSERT(!engines.at(change.engine).isDraining);
      }
      for (const auto& [version, writers] : CountWriters(engines)) {
        RC_ASSERT(writers >= 1);
        const bool hadWriter = CountWriters(before).at(version) > 0;
        const bool keepsWriter = CountLastingWriters(before, engines).at(version) > 0;
        RC_ASSERT(!hadWriter || keepsWriter);
      }
    }
    RC_ASSERT(PlanStages(engines, kService, MakePolicy(share, limit)).empty());
  });
}

// Guards against a second order for the same need while the first is under way, and against taking
// the engine that still writes before the other one does.
MASTICSTEP_TEST("a pending change is not planned again and counts as a writer only when it is done",
                "[dispatch][stages][failure]")
{
  const StagePolicy policy = MakePolicy(0.33, 0.1);
  const PendingStages pending{ { BackendServerName{ "a" }, Stage::Decode },
                               { BackendServerName{ "b" }, Stage::Decode },
                               { BackendServerName{ "c" }, Stage::Decode } };
  CHECK_TRUE(PlanStages(MakeReleaseWithoutOldWriter(), kService, policy, pending).empty());

  Engines engines;
  AddEngine(engines, "a", kOldVersion, Stage::Decode);
  AddEngine(engines, "b", kOldVersion, Stage::Prefill);
  AddEngine(engines, "c", kOldVersion, Stage::Prefill);
  const PendingStages toDecode{ { BackendServerName{ "b" }, Stage::Decode } };
  CHECK_TRUE(PlanStages(engines, kService, MakePolicy(0.33), toDecode).empty());
}

MASTICSTEP_TEST("draining engines do not change stage", "[dispatch][stages]")
{
  std::map<BackendServerName, Backend> engines = MakeEngines(2, 4);
  for (auto& [id, engine] : engines) {
    engine.isDraining = true;
  }
  CHECK_TRUE(PlanStages(engines, kService, MakePolicy(0.33)).empty());
}

// Guards against a new holder of the lease that moves engines back to the initial guess.
MASTICSTEP_TEST("the current share counts the engines of all data centres", "[dispatch][stages]")
{
  CHECK_EQUAL(std::optional<double>(0.25), CurrentDecodeShare(MakeEngines(6, 2), kService));
  CHECK_FALSE(CurrentDecodeShare(MakeEngines(6, 2), ServiceName{ "t" }).has_value());
}
