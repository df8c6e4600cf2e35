#pragma once

#include "CostModel.hpp"
#include "EngineBreaker.hpp"
#include "EngineFactor.hpp"
#include "EngineSummary.hpp"
#include "LoadBelief.hpp"
#include "masticstep/routing/EngineDescription.hpp"
#include "masticstep/routing/RouterOptions.hpp"

#include <array>

namespace masticstep::routing {

using RoleModels = std::array<CostModel, kEngineRoles>;

// Everything that is believed about one engine.
struct EngineBelief
{
  EngineBelief(const EngineDescription& aDescription, RoleModels& aModels);

  const CostModel& Model() const { return (*models)[static_cast<std::size_t>(description.role)]; }
  // The announced state if it is not ready, else the reported one.
  EngineState State() const { return announced == EngineState::Ready ? reported : announced; }
  EngineSummary Summary() const;
  // Takes the data centre's round trip and charge from the options.
  void SetZone(const RouterOptions& aOptions);

  EngineDescription description;
  // What was announced, and what the engine itself reports. Both must be ready, since an engine
  // that leaves by the platform's list reports that it is ready.
  EngineState announced = EngineState::Ready;
  EngineState reported = EngineState::Ready;
  Time announcedAt{};
  bool isRemoved = false;
  LoadBelief load;
  // Shared by the engines of the service: one engine alone gives too few answers of each class.
  RoleModels* models;
  // What sets this engine apart from the others of its service.
  EngineFactor firstTokenFactor;
  EngineFactor betweenFactor;
  EngineBreaker breaker;
  std::size_t localInFlight = 0;
  // Of own requests sent to it, not cached; a report counts waiting requests and not their tokens.
  double meanPromptTokens = 500.0;
  double roundTrip = 0.0;
  double zoneCost = 0.0;
  std::uint64_t cacheSequence = 0;
  // Share of the believed prefix hits that is counted on; lost cache events lower it.
  double cacheTrust = 1.0;
};

} // namespace masticstep::routing
