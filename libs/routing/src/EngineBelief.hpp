#pragma once

#include "CostModel.hpp"
#include "EngineBreaker.hpp"
#include "LoadBelief.hpp"
#include "masticstep/routing/EngineDescription.hpp"
#include "masticstep/routing/RouterOptions.hpp"

#include <array>

namespace masticstep::routing {

// Everything that is believed about one engine.
struct EngineBelief
{
  explicit EngineBelief(const EngineDescription& aDescription);

  CostModel& Model() { return models[static_cast<std::size_t>(description.role)]; }
  const CostModel& Model() const { return models[static_cast<std::size_t>(description.role)]; }
  // Takes the zone's round trip and charge from the options.
  void SetZone(const RouterOptions& aOptions);

  EngineDescription description;
  EngineState state = EngineState::Ready;
  bool isRemoved = false;
  LoadBelief load;
  std::array<CostModel, kEngineRoles> models;
  EngineBreaker breaker;
  std::size_t ownInFlight = 0;
  // Of own requests sent to it, not cached; a report counts waiting requests and not their tokens.
  double meanPromptTokens = 500.0;
  double roundTrip = 0.0;
  double zoneCost = 0.0;
  std::uint64_t cacheSequence = 0;
  // Share of the believed prefix hits that is counted on; lost cache events lower it.
  double cacheTrust = 1.0;
};

} // namespace masticstep::routing
