#include "masticstep/roles/ModelPlacement.hpp"
#include "masticstep/testing/Test.hpp"

using namespace masticstep;
using namespace masticstep::roles;

// Guards against a large model that takes the last engine of a small one.
MASTICSTEP_TEST("every model with demand has an engine and no needless move is made",
                "[roles][placement]")
{
  const ModelName large("large");
  const ModelName small("small");
  std::vector<EnginePlacement> engines;
  for (const char* name : { "e1", "e2", "e3", "e4" }) {
    engines.push_back({ EngineId(name), large });
  }
  const std::vector<ModelDemand> demands{ { large, 9.0 }, { small, 0.01 } };
  const std::vector<EnginePlacement> moves = PlaceModels(demands, engines);
  CHECK_EQUAL(1U, moves.size());
  CHECK_EQUAL(small, moves[0].model);
  engines[0].model = small;
  CHECK_TRUE(PlaceModels(demands, engines).empty());
}
