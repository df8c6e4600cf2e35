#pragma once

#include "masticstep/base/Identifier.hpp"

#include <vector>

namespace masticstep::roles {

struct ModelDemand
{
  ModelName model;
  // Expected work, in engines.
  double work = 0.0;
};

struct EnginePlacement
{
  EngineId engine;
  ModelName model;

  bool operator==(const EnginePlacement&) const = default;
};

// Returns the engines that should load another model, the model with the most work first. Every
// model with demand keeps or gets at least one engine while there are enough engines; the remaining
// engines are apportioned by work. An engine moves only if its new model is at least one engine
// short.
std::vector<EnginePlacement> PlaceModels(const std::vector<ModelDemand>& aDemands,
                                         const std::vector<EnginePlacement>& aEngines);

} // namespace masticstep::roles
