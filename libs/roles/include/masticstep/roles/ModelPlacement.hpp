#pragma once

#include "masticstep/base/Identifier.hpp"

#include <vector>

namespace masticstep::roles {

struct ModelDemand
{
  ModelName model;
  // Engines' worth of work expected.
  double work = 0.0;
};

struct PlacedEngine
{
  EngineId engine;
  ModelName model;

  bool operator==(const PlacedEngine&) const = default;
};

// Returns which engines should load another model, in the order of the largest need. Every model
// with a demand keeps or gets at least one engine while there are enough engines; the others are
// shared out by work. A move must give its new model at least one engine's worth of missing room.
std::vector<PlacedEngine> PlaceModels(const std::vector<ModelDemand>& aDemands,
                                      const std::vector<PlacedEngine>& aEngines);

} // namespace masticstep::roles
